"""Requests to two targets of which one begins to hang, and a download that takes
longer to arrive than a request may hang."""
import random
import sys
import threading
import time

from platform_fleet import Fleet, RawTarget, call, document

BUILD, WORK = sys.argv[1], sys.argv[2]
NET = f"127.{random.randrange(120, 160)}.{random.randrange(1, 250)}"
WARM_UP = 20
REQUESTS = 12  # at once
WORK_S = 0.05
SOFT_DEADLINE_S = 0.5
TIMEOUT_S = 5
PARTS = 12  # of a download
PART_S = 0.15

fleet = Fleet(BUILD, WORK, [f"{NET}.1"], [f"{NET}.20"])
hangs = threading.Event()
runs = {}


def count(attempt):
    runs[attempt] = runs.get(attempt, 0) + 1


def answer(conn, attempt, length=2):
    # RawTarget closes the connection after the response. Without the header the
    # gate keeps it, and a request that races with the close is a failure of
    # the target, which is then ejected.
    conn.sendall((f"HTTP/1.1 200 OK\r\nTarragonmoor-Attempt-Id: {attempt}\r\n"
                  "Tarragonmoor-Server-Signature: sig\r\n"
                  "Connection: close\r\n"
                  f"Content-Length: {length}\r\n\r\n").encode())


def write(conn, attempt):
    count(attempt)
    time.sleep(WORK_S)
    answer(conn, attempt)
    conn.sendall(b"ok")


def write_or_hang(conn, attempt):
    if hangs.is_set():
        count(attempt)
        time.sleep(3 * TIMEOUT_S)
        return
    write(conn, attempt)


def write_slowly(conn, attempt):
    if not attempt.startswith("load"):
        write(conn, attempt)
        return
    count(attempt)
    answer(conn, attempt, PARTS)
    for _ in range(PARTS):
        time.sleep(PART_S)
        conn.sendall(b"x")


def send(name, path):
    return call(
        fleet.gates[0], fleet.front, "GET", path, None,
        {"Host": "a.example", "Tarragonmoor-Attempt-Id": name,
         "Tarragonmoor-Deadline-Ms": str(TIMEOUT_S * 1000)}, timeout=20)


def send_all(kind, path, statuses):
    threads = [threading.Thread(
        target=lambda i=i: statuses.append(send(f"{kind}-{i}", path)[0]))
        for i in range(REQUESTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


try:
    fleet.start_all(["key-one"])
    changed = document(8, ["key-one"])
    common = dict(changed["Routes"]["r2"], TargetLatencyS=SOFT_DEADLINE_S,
                  TimeoutS=TIMEOUT_S)
    changed["Routes"]["read"] = dict(
        common, PathPrefix="/read/", Service="pair", Kind="safe")
    changed["Routes"]["write"] = dict(
        common, PathPrefix="/write/", Service="pair", Kind="unsafe")
    changed["Routes"]["load"] = dict(
        common, PathPrefix="/load/", Service="files", Kind="download")
    for name in ("pair", "files"):
        changed["Services"][name] = changed["Services"]["s1"]
    fleet.control("POST", "/tarragonmoor/config/put", changed)
    RawTarget(fleet, "pair-1", "pair", write)
    RawTarget(fleet, "pair-2", "pair", write_or_hang)
    for i in range(2):
        RawTarget(fleet, f"files-{i}", "files", write_slowly)
    fleet.wait("the gate is ready", lambda: fleet.is_ready(0))
    fleet.wait("served", lambda: send(
        f"first-{time.monotonic()}", "/read/1")[0] == 200)
    for i in range(WARM_UP):
        send(f"warm-{i}", "/read/1")
    hangs.set()
    writes, reads = [], []
    readers = threading.Thread(target=send_all, args=("r", "/read/1", reads))
    readers.start()
    send_all("w", "/write/1", writes)
    readers.join()
    print("reads served:", reads.count(200), "of", REQUESTS)
    print("at most once:", all(
        n == 1 for name, n in runs.items() if name.startswith("w-")))
    print("some reads were sent to both:", any(
        n == 2 for name, n in runs.items() if name.startswith("r-")))
    fleet.wait("short downloads served", lambda: send(
        f"short-{time.monotonic()}", "/load/1")[0] == 200)
    for i in range(WARM_UP):
        send(f"short-{i}", "/load/1")
    status, body, _ = send("load", "/load/1")
    print("a download that takes long:", status, len(body), "bytes,",
          runs["load"], "attempt")
finally:
    fleet.kill_all()
