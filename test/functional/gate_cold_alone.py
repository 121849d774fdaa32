"""All hubs end, then the targets turn cold while callers send far more than cold
targets may get, through six gates. Prints whether each target stayed within its
bound, and whether all is served again once the hubs are back."""
import os
import random
import sys
import threading
import time

from platform_fleet import WAIT_S, Fleet, TargetProcess, call, document

BUILD, WORK = sys.argv[1], sys.argv[2]
NET = f"127.{random.randrange(160, 200)}.{random.randrange(1, 250)}"
GATES = 6
CALLERS = 18
CALLER_INTERVAL_S = 0.08
TARGETS = 4
WORK_S = 0.02
# Of the platform.
PER_S = 5.8
OVERSHOOT = 1.5
SLACK = 8
BOUND = PER_S * OVERSHOOT + SLACK
# A gate without answers has no leader after 1.3 s.
LOST_S = 2.5
ALONE_S = 8

fleet = Fleet(BUILD, WORK, [f"{NET}.{i + 1}" for i in range(3)],
              [f"{NET}.{i + 20}" for i in range(GATES)])
fleet.hub_settings = {"warmup_overshoot": OVERSHOOT, "warmup_slack": SLACK}
stop = threading.Event()
answers = []  # (time, status)


def request(gate, name):
    return call(fleet.gates[gate], fleet.front, "POST", "/x/1", b"body",
                {"Host": "a.example", "Tarragonmoor-Attempt-Id": name,
                 "Tarragonmoor-Deadline-Ms": "3000", "Api-Key": "key-one"})


def send(number):
    rng = random.Random(number)
    count = 0
    while not stop.is_set():
        count += 1
        try:
            status = request(number % GATES, f"c{number}-{count}")[0]
        except OSError:
            status = 0
        answers.append((time.monotonic(), status))
        time.sleep(rng.uniform(0.5, 1.5) * CALLER_INTERVAL_S)


def most_in_a_second(target, since, until):
    times = [x["t"] for x in target.read_records()
             if since <= x["t"] <= until and x["what"] == "ran"]
    return max((sum(1 for x in times if t <= x < t + 1) for t in times),
               default=0)


def get_served(since, until):
    seen = [x[1] for x in answers if since <= x[0] <= until]
    return seen.count(200) / max(1, len(seen))


def is_all_served():
    now = time.monotonic()
    return get_served(now - 1, now) == 1


def main():
    for i in range(3):
        fleet.start_hub(i, True)
    for i in range(GATES):
        fleet.start_gate(i)
    settings = document(7, ["key-one"])
    settings["Services"]["s1"]["WarmupPerS"] = PER_S
    settings["Tenants"]["w1"].update({"RatePerS": 10000, "Burst": 10000})
    fleet.control("POST", "/tarragonmoor/config/put", settings)
    targets = [TargetProcess(fleet, f"t{i}") for i in range(TARGETS)]
    for target in targets:
        target.set_answer(work_s=WORK_S)
    for gate in range(GATES):
        fleet.wait(f"gate {gate} serves", lambda: request(
            gate, f"first-{time.monotonic()}")[0] == 200, WAIT_S)
    for i in range(CALLERS):
        threading.Thread(target=send, args=(i,), daemon=True).start()
    time.sleep(4)
    now = time.monotonic()
    warm = [most_in_a_second(x, now - 2, now) for x in targets]
    print("warm targets", warm, file=sys.stderr)
    print("warm targets get well above the bound:", min(warm) >= 1.3 * BOUND)

    for i in range(3):
        fleet.processes[f"hub{i}"].kill()
        fleet.processes[f"hub{i}"].wait()
    time.sleep(LOST_S)
    since = time.monotonic()
    time.sleep(ALONE_S)
    until = time.monotonic()
    cold = [most_in_a_second(x, since, until) for x in targets]
    print("without a leader", cold, "served", get_served(since, until),
          file=sys.stderr)
    print("without a leader each target stays within it:",
          max(cold) <= BOUND)
    print("each is used:", min(cold) > 0)

    for i in range(3):
        fleet.start_hub(i, False)
    fleet.wait("with a leader all are served again", is_all_served, WAIT_S)
    stop.set()


try:
    main()
finally:
    fleet.kill_all()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(0)
