"""Sends short requests to one gate at a steady pace, well within the rate of
their workspace, and prints whether all are served."""
import os
import random
import sys
import time

from platform_fleet import WAIT_S, Fleet, TargetProcess, call

BUILD, WORK = sys.argv[1], sys.argv[2]
NET = f"127.{random.randrange(160, 200)}.{random.randrange(1, 250)}"
# Longer than the timer interval of a busy gate, shorter than that of an idle one.
INTERVAL_S = 0.035
SECONDS = 8

fleet = Fleet(BUILD, WORK, [f"{NET}.{i + 1}" for i in range(3)], [f"{NET}.20"])


def request(name):
    return call(fleet.gates[0], fleet.front, "POST", "/x/1", b"body",
                {"Host": "a.example", "Tarragonmoor-Attempt-Id": name,
                 "Tarragonmoor-Deadline-Ms": "1500", "Api-Key": "key-one"})[0]


def main():
    fleet.start_all(["key-one"])
    TargetProcess(fleet, "t0")
    fleet.wait("gate serves", lambda: request(
        f"first-{time.monotonic()}") == 200, WAIT_S)
    statuses = []
    end = time.monotonic() + SECONDS
    while time.monotonic() < end:
        statuses.append(request(f"a-{len(statuses)}"))
        time.sleep(INTERVAL_S)
    print({x: statuses.count(x) for x in set(statuses)}, file=sys.stderr)
    print("all served:", set(statuses) == {200})
    print("the gate kept its lease:",
          not fleet.log_has("gate0", '"event":940'))
    print("it is ready:", fleet.is_ready(0))


try:
    main()
finally:
    fleet.kill_all()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(0)
