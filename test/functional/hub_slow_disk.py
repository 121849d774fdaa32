"""Three hubs whose disks take long for each fsync elect a leader, also after a kill
of the leader. Then only the leader's disk hangs in a write."""
import http.client
import json
import os
import random
import signal
import sys
import time

from platform_fleet import Fleet, call, document

BUILD, WORK = sys.argv[1], sys.argv[2]
NET = f"127.{random.randrange(120, 160)}.{random.randrange(1, 250)}"
HUBS = 3
SYNC_MS = 150
RECOVERY_S = 15  # of the platform
HANG_S = 2  # until another hub leads
CALL_S = 0.5

fleet = Fleet(BUILD, WORK, [f"{NET}.{i + 1}" for i in range(HUBS)],
              [f"{NET}.20"])
version = 100


def set_disk(i, text):
    path = f"{WORK}/disk{i}"
    with open(path + ".new", "w", encoding="utf-8") as out:
        out.write(text)
    os.rename(path + ".new", path)


def start_hub(i, first):
    os.environ["SLOW_SYNC_FILE"] = f"{WORK}/disk{i}"
    os.environ["LD_PRELOAD"] = f"{WORK}/slow_sync.so"
    fleet.start_hub(i, first)
    del os.environ["LD_PRELOAD"]


def try_hub(i, method, path, body=None, timeout=CALL_S):
    try:
        return call(fleet.hubs[i], fleet.control_port, method, path, body,
                    timeout=timeout)
    except (OSError, http.client.HTTPException):
        return 0, b"", {}


def find_leader(but=None):
    for i in range(HUBS):
        if i != but and try_hub(
                i, "GET", "/tarragonmoor/config/get")[0] == 200:
            return i
    return None


def put(but=None, timeout=4):
    """Whether a hub acknowledges a new document."""
    global version
    version += 1
    body = json.dumps(document(version, ["key-one"]))
    return any(try_hub(i, "POST", "/tarragonmoor/config/put", body,
                       timeout)[0] == 200
               for i in range(HUBS) if i != but)


def wait(what, condition, seconds):
    started = time.monotonic()
    fleet.wait(what, condition, seconds)
    print(what, "after s:", round(time.monotonic() - started, 2),
          file=sys.stderr)


try:
    for i in range(HUBS):
        set_disk(i, str(SYNC_MS))
        start_hub(i, True)
    wait("slow disks: a document is acknowledged", put, RECOVERY_S)
    leader = find_leader()
    fleet.processes[f"hub{leader}"].send_signal(signal.SIGKILL)
    fleet.processes[f"hub{leader}"].wait()
    wait("slow disks: again after a kill of the leader", put, RECOVERY_S)
    start_hub(leader, False)

    for i in range(HUBS):
        set_disk(i, "0")
    wait("sound disks: a document is acknowledged", put, RECOVERY_S)
    # All hubs follow, so that any two of them can go on.
    fleet.wait("all hubs know the leader", lambda: all(
        try_hub(i, "GET", "/tarragonmoor/config/get")[0] in (200, 307)
        for i in range(HUBS)))
    time.sleep(1)
    leader = find_leader()
    set_disk(leader, "hang")
    print("a hanging disk acknowledges nothing:",
          try_hub(leader, "POST", "/tarragonmoor/config/put", json.dumps(
              document(version + 1000, ["key-one"])), timeout=0.1)[0] == 0)
    wait("another hub leads", lambda: find_leader(but=leader) is not None,
         HANG_S)
    print("and acknowledges a document:", put(but=leader))
    set_disk(leader, "0")
    fleet.wait("the hub whose disk hung follows", lambda: try_hub(
        leader, "GET", "/tarragonmoor/config/get")[0] in (200, 307) and
        find_leader() is not None)
finally:
    fleet.kill_all()
