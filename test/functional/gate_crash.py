"""Sends a request that ends each target which runs it, again and again through
three gates, and prints how many targets it reached after the fleet had time to
recognise it."""
import os
import random
import sys
import threading
import time

from platform_fleet import WAIT_S, Fleet, TargetProcess, call

BUILD, WORK = sys.argv[1], sys.argv[2]
# The ports of targets accept connections while their processes are down.
KEEPS_PORTS = "keeps-ports" in sys.argv[3:]
NET = f"127.{random.randrange(2, 40)}.{random.randrange(1, 250)}"
GATES = 3
TARGETS = 8
SENDINGS = 24
INTERVAL_S = 0.5
# Between the two requests, and away from the retry of the one that is repeated: a
# target records only the request that ended it, not another one that was sent.
OFFSET_S = 0.37
# A restarted target is back after this time, as a new incarnation.
RESTART_S = 2
# Of the platform: time for a VM to learn, and retries that are allowed then.
LEARN_S = 3
RETRIES_MAX = 3
CRASHES = 3
# Callers of other requests may meet a target that ends.
SERVED_SHARE_MIN = 0.8

fleet = Fleet(BUILD, WORK, [f"{NET}.{i + 1}" for i in range(3)],
              [f"{NET}.{i + 20}" for i in range(GATES)])


class Keeper(threading.Thread):
    """Starts targets again that have ended, under a new id."""

    def __init__(self, targets):
        super().__init__(daemon=True)
        self.targets = targets

    def run(self):
        due = {}
        while True:
            for i, target in enumerate(self.targets):
                if target.has_ended() and i not in due:
                    due[i] = time.monotonic() + RESTART_S
                if time.monotonic() >= due.get(i, float("inf")):
                    del due[i]
                    target.start_again()
            time.sleep(0.05)


def request(gate, name, method, path, body, key):
    headers = {"Host": "a.example", "Tarragonmoor-Attempt-Id": name,
               "Tarragonmoor-Deadline-Ms": "4000"}
    if key:
        headers["Api-Key"] = key
    return call(fleet.gates[gate], fleet.front, method, path, body, headers)


def send_crashes(kind, method, path, key, answers, wait_s):
    time.sleep(wait_s)
    for i in range(SENDINGS):
        started = time.monotonic()
        try:
            answers.append(request(i % GATES, f"{kind}-{i}", method, path,
                                   b"crash", key))
        except OSError as error:
            answers.append((0, str(error), {}))
        time.sleep(max(0, INTERVAL_S - (time.monotonic() - started)))


def send_others(statuses, stop):
    """Other requests of the same callers and on the same paths."""
    count = 0
    while not stop.is_set():
        count += 1
        for method, path, key in (("POST", "/x/1", "key-one"),
                                  ("GET", "/open/1", None)):
            statuses.append(request(count % GATES, f"other-{count}", method,
                                    path, b"harmless", key)[0])
        time.sleep(0.1)


def report(kind, records, answers):
    crashed = sorted(x["t"] for x in records if x["id"].startswith(kind + "-"))
    late = [t for t in crashed[CRASHES:] if t > crashed[CRASHES - 1] + LEARN_S]
    print(kind, "crashed", len(crashed), "late", len(late), file=sys.stderr)
    print(f"{kind}: at least {CRASHES} targets ended:", len(crashed) >= CRASHES)
    print(f"{kind}: at most {RETRIES_MAX} retries once it is known:",
          len(late) <= RETRIES_MAX)
    last_status, last_body, last_headers = answers[-1]
    print(f"{kind}: then refused unrun:", last_status,
          b"request_blocked" in last_body,
          float(last_headers.get("Retry-After", 0)) > 60)


def restart_all():
    """Kills all hubs and gates at once and starts them again."""
    names = [x for x in fleet.processes if x.startswith(("hub", "gate"))]
    for name in names:
        fleet.processes[name].kill()
    for name in names:
        fleet.processes[name].wait()
    for i in range(3):
        fleet.start_hub(i, False)
    for i in range(GATES):
        fleet.start_gate(i)
    for gate in range(GATES):
        fleet.wait(f"gate {gate} serves again", lambda: request(
            gate, f"again-{time.monotonic()}", "POST", "/x/1", None,
            "key-one")[0] == 200, WAIT_S)


def main():
    targets = []
    fleet.start_all(["key-one"])
    for i in range(TARGETS):
        targets.append(TargetProcess(fleet, f"t{i}", KEEPS_PORTS))
    for gate in range(GATES):
        fleet.wait(f"gate {gate} serves", lambda: request(
            gate, f"first-{time.monotonic()}", "POST", "/x/1", None,
            "key-one")[0] == 200, WAIT_S)
    Keeper(targets).start()
    stop = threading.Event()
    statuses, unsafe, safe = [], [], []
    threads = [threading.Thread(target=send_others, args=(statuses, stop)),
               threading.Thread(target=send_crashes, args=(
                   "unrepeatable", "POST", "/x/1", "key-one", unsafe,
                   OFFSET_S)),
               threading.Thread(target=send_crashes, args=(
                   "repeatable", "GET", "/open/1", None, safe, 0))]
    for thread in threads:
        thread.start()
    for thread in threads[1:]:
        thread.join()
    stop.set()
    threads[0].join()
    records = [x for target in targets for x in target.read_records()]
    report("unrepeatable", records, unsafe)
    report("repeatable", records, safe)
    print("other requests served:", statuses.count(200) >=
          SERVED_SHARE_MIN * len(statuses))
    print(statuses.count(200), "of", len(statuses), file=sys.stderr)
    restart_all()
    status = request(0, "after", "POST", "/x/1", b"crash", "key-one")[0]
    print("still refused after all hubs and gates were killed:", status,
          any(x["id"] == "after" for t in targets for x in t.read_records()))


try:
    main()
finally:
    fleet.kill_all()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(0)
