"""Of five hubs, the leader, another one and the next leader are replaced for good by
empty ones at other addresses, while a data centre is evacuated and callers send
requests. In the end both hubs that are left of the first five are killed, so that
only what the new ones have is left."""
import json
import os
import random
import shutil
import signal
import sys
import threading
import time
import traceback

from platform_fleet import Fleet, TargetProcess, call, document

BUILD, WORK = sys.argv[1], sys.argv[2]
NET = f"127.{random.randrange(120, 160)}.{random.randrange(1, 250)}"
HUBS = 5
GATES = 2
RECOVERY_S = 15  # of the platform
EVACUATE_S = 5  # of the platform
WATCH_S = 2
CALLER_INTERVAL_S = 0.05
LEADS = '"event":913'
MEMBERS_CHANGE = '"event":915'
STEP_ADD = '"step":3'

first = [f"{NET}.{i + 1}" for i in range(HUBS)]
spare = [f"{NET}.{i + 101}" for i in range(HUBS)]
# Ports are to be free on the spare addresses, too.
fleet = Fleet(BUILD, WORK, first + spare,
              [f"{NET}.{20 + i}" for i in range(GATES)])
fleet.hubs = list(first)
fleet.hub_settings = {"evacuate_within_s": EVACUATE_S,
                      "data_centres": ["dc1", "dc2", "dc3"]}
stop = threading.Event()
answers = []  # (time, status)


def request(gate, name):
    return call(fleet.gates[gate], fleet.front, "POST", "/x/1", b"body",
                {"Host": "a.example", "Tarragonmoor-Attempt-Id": name,
                 "Tarragonmoor-Deadline-Ms": "5000", "Api-Key": "key-one"})


def send(gate):
    count = 0
    while not stop.is_set():
        count += 1
        try:
            status = request(gate, f"g{gate}-{count}")[0]
        except OSError:
            status = 0
        answers.append((time.monotonic(), status))
        time.sleep(CALLER_INTERVAL_S)


def find_leader():
    """Number of the hub that answers calls; None: there is none."""
    for i, ip in enumerate(fleet.hubs):
        try:
            if call(ip, fleet.control_port, "GET", "/v1/evacuations",
                    timeout=1)[0] == 200:
                return i
        except OSError:
            pass
    return None


def read_version():
    return json.loads(fleet.control(
        "GET", "/tarragonmoor/config/get")[1])["Version"]


def read_evacuations():
    rows = json.loads(fleet.control("GET", "/v1/evacuations")[1])
    return sorted(row["name"] for row in rows)


def end_hub(i, number):
    process = fleet.processes[f"hub{i}"]
    process.send_signal(number)
    process.wait(10)


def has_seat(ip):
    return any(fleet.log_has(f"hub{i}", MEMBERS_CHANGE, f'"hub":"{ip}"',
                             STEP_ADD, '"error":"success"')
               for i in range(HUBS))


def replace(what, i, number):
    """Ends a hub and starts an empty one at another address in its place."""
    end_hub(i, number)
    ended = time.monotonic()
    shutil.rmtree(f"{WORK}/data{i}")
    fleet.hubs[i] = spare[i]
    fleet.start_hub(i, False)
    fleet.wait(f"{what}: there is a leader",
               lambda: find_leader() is not None, RECOVERY_S)
    print(what, "led again after s:", round(time.monotonic() - ended, 2),
          file=sys.stderr)
    fleet.wait(f"{what}: the new hub has a seat",
               lambda: has_seat(spare[i]), RECOVERY_S)
    check(what)


def check(what):
    """Prints whether what was acknowledged is there, and gates act on it."""
    since = time.monotonic()
    time.sleep(WATCH_S)
    seen = [status for at, status in answers if at >= since]
    late = [x["t"] for x in leaving.read_records() if x["t"] >= since]
    print(f"{what}: document", read_version(), "evacuated",
          *read_evacuations())
    print(f"{what}: gates serve:",
          seen.count(200) >= 0.95 * len(seen) > 10,
          "none of dc1:", len(late) == 0)


def order(path):
    return fleet.control("POST", f"/tarragonmoor/evacuate/{path}")[0]


def pick_follower():
    leader = find_leader()
    return next(i for i in range(HUBS)
                if i != leader and fleet.hubs[i] in first)


def main():
    fleet.start_all(["key-one"])
    for gate in range(GATES):
        fleet.wait(f"gate {gate} serves", lambda: request(
            gate, f"first-{time.monotonic()}")[0] == 200)
        threading.Thread(target=send, args=(gate,), daemon=True).start()
    print("document:", fleet.control(
        "POST", "/tarragonmoor/config/put", document(8, ["key-one"]))[0])
    print("evacuated:", order("dc1/start"))
    time.sleep(EVACUATE_S)
    check("at first")

    replace("the leader killed", find_leader(), signal.SIGKILL)
    replace("another one killed", pick_follower(), signal.SIGKILL)
    print("meanwhile:", order("dc3/start"), fleet.control(
        "POST", "/tarragonmoor/config/put", document(9, ["key-one"]))[0])
    leader = find_leader()
    if fleet.hubs[leader] not in first:
        leader = pick_follower()
    replace("one more stopped", leader, signal.SIGTERM)

    left = [i for i in range(HUBS) if fleet.hubs[i] in first]
    print("left of the first ones:", len(left))
    for i in left:
        end_hub(i, signal.SIGKILL)
    fleet.wait("new hubs alone: there is a leader",
               lambda: find_leader() is not None, RECOVERY_S)
    check("new hubs alone")
    print("ended:", order("dc1/end"), order("dc3/end"))
    ended = time.monotonic()
    fleet.wait("dc1 gets requests again", lambda: any(
        x["t"] >= ended for x in leaving.read_records()))
    stop.set()


leaving = TargetProcess(fleet, "t0", zone="dc1")
staying = TargetProcess(fleet, "t1", zone="dc2")
code = 1
try:
    main()
    code = 0
except Exception:  # os._exit() would hide it
    traceback.print_exc()
finally:
    fleet.kill_all()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)
