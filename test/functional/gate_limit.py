"""Targets name a limit in their responses while callers send more through three
gates, and the leading hub is killed meanwhile. Prints whether each target got
more than its limit allows, and whether the limit ends when it is named no more."""
import os
import random
import signal
import sys
import threading
import time

from platform_fleet import WAIT_S, Fleet, TargetProcess, call

BUILD, WORK = sys.argv[1], sys.argv[2]
NET = f"127.{random.randrange(40, 80)}.{random.randrange(1, 250)}"
GATES = 3
CALLERS = 9
CALLER_INTERVAL_S = 0.1
# Of the platform: time for a VM to learn, and what a limit allows in a window.
LEARN_S = 3
WINDOW_S = 4
FACTOR = 1.5
SLACK = 5
# Limits of the first targets; the others have none. Then only one target is
# without a limit, then all have one.
LIMITS = {"t0": 1, "t1": 5}
NAMED_S = 10

fleet = Fleet(BUILD, WORK, [f"{NET}.{i + 1}" for i in range(3)],
              [f"{NET}.{i + 20}" for i in range(GATES)])
stop = threading.Event()
answers = []  # (time, status, Retry-After)


def request(gate, name):
    return call(fleet.gates[gate], fleet.front, "POST", "/x/1", b"body",
                {"Host": "a.example", "Tarragonmoor-Attempt-Id": name,
                 "Tarragonmoor-Deadline-Ms": "3000", "Api-Key": "key-one"})


def send(number):
    rng = random.Random(number)
    count = 0
    while not stop.is_set():
        count += 1
        started = time.monotonic()
        try:
            status, _, headers = request(number % GATES, f"c{number}-{count}")
            wait = headers.get("Retry-After")
            answers.append((time.monotonic(), status, wait,
                            time.monotonic() - started))
        except OSError:
            answers.append((time.monotonic(), 0, None, 0))
        time.sleep(rng.uniform(0.5, 1.5) * CALLER_INTERVAL_S)


def most_in_window(times):
    return max((sum(1 for x in times if t <= x < t + WINDOW_S)
                for t in times), default=0)


def name_limits(targets, limits, seconds):
    """Has targets name limits for a time and checks what they get."""
    for target in targets:
        if target.name in limits:
            target.set_answer(
                headers={"Server-Limit": str(limits[target.name])}, work_s=0.02)
    started = time.monotonic()
    kill_leader()
    time.sleep(seconds)
    ended = time.monotonic()
    for target in targets:
        target.set_answer(work_s=0.02)
    kept = True
    for target in targets:
        if target.name not in limits:
            continue
        times = [x["t"] for x in target.read_records()
                 if started <= x["t"] <= ended]
        first = min(times, default=started)
        late = [t for t in times if t >= first + LEARN_S]
        most = most_in_window(late)
        allowed = FACTOR * WINDOW_S * limits[target.name] + SLACK
        print(target.name, "limit", limits[target.name], "most", most,
              "allowed", allowed, "of", len(late), file=sys.stderr)
        kept = kept and most <= allowed
        # A limit is no reason to leave a target out.
        kept = kept and len(late) > 0
    return kept, [x for x in answers if started + LEARN_S <= x[0] <= ended]


def kill_leader():
    """The leading hub ends and comes back."""
    for i in range(3):
        if fleet.log_has(f"hub{i}", '"event":913'):
            name = f"hub{i}"
            fleet.processes[name].send_signal(signal.SIGKILL)
            fleet.processes[name].wait()
            os.rename(f"{WORK}/{name}.log", f"{WORK}/{name}.{time.time()}")
            fleet.start_hub(i, False)
            return


def share_of(target, since):
    times = [x["t"] for x in target.read_records() if x["t"] >= since]
    return len(times)


def main():
    fleet.start_all(["key-one"])
    targets = [TargetProcess(fleet, f"t{i}") for i in range(4)]
    for target in targets:
        target.set_answer(work_s=0.02)
    for gate in range(GATES):
        fleet.wait(f"gate {gate} serves", lambda: request(
            gate, f"first-{time.monotonic()}")[0] == 200, WAIT_S)
    threads = [threading.Thread(target=send, args=(i,), daemon=True)
               for i in range(CALLERS)]
    for thread in threads:
        thread.start()
    time.sleep(2)

    kept, seen = name_limits(targets, LIMITS, NAMED_S)
    print("two of four targets with a limit get no more:", kept)
    served = sum(1 for x in seen if x[1] == 200)
    print(served, "of", len(seen), "served", file=sys.stderr)
    print("the others serve nearly all:", served >= 0.98 * len(seen))

    since = time.monotonic()
    time.sleep(4)
    counts = [share_of(target, since + 2) for target in targets]
    print("counts after the limits", counts, file=sys.stderr)
    print("after the limits all targets get their share:",
          min(counts) >= 0.5 * sum(counts) / len(counts))

    kept, seen = name_limits(targets, {f"t{i}": 2 for i in range(4)}, NAMED_S)
    print("four of four targets with a limit get no more:", kept)
    served = sum(1 for x in seen if x[1] == 200)
    refused = [x for x in seen if x[1] == 503]
    print(served, "of", len(seen), "served,", len(refused), "refused",
          file=sys.stderr)
    print("most of what the limits allow is served:",
          served >= 0.7 * 8 * (NAMED_S - LEARN_S))
    print("the rest is refused, with a time:",
          served + len(refused) >= 0.98 * len(seen) and len(refused) > 0,
          all(x[2] and float(x[2]) > 0 for x in refused))
    early = sum(1 for x in refused if x[3] < 0.5)
    print("early", early, "of", len(refused), file=sys.stderr)
    print("at once:", early >= 0.95 * len(refused))
    stop.set()


try:
    main()
finally:
    fleet.kill_all()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(0)
