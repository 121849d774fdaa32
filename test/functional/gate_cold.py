"""Targets turn cold while callers send far more than cold targets may get, through
six gates, and the leading hub is killed meanwhile. Prints whether each cold target
stayed within its bound, and whether it is used again when it is warm."""
import os
import random
import signal
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
# From the acknowledgement of an announcement to its effect at all gates; and from
# the turn to the time from which answers to callers are counted.
LEARN_S = 0.2
TOLD_S = 3
COLD_S = 8
KILL_AFTER_S = 3


class ColdFleet(Fleet):
    def start(self, program, name, settings):
        if program == "tm-hub":
            settings["warmup_overshoot"] = OVERSHOOT
            settings["warmup_slack"] = SLACK
        super().start(program, name, settings)


fleet = ColdFleet(BUILD, WORK, [f"{NET}.{i + 1}" for i in range(3)],
                  [f"{NET}.{i + 20}" for i in range(GATES)])
stop = threading.Event()
answers = []  # (time, status, Retry-After, duration)


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
            answers.append((time.monotonic(), status,
                            headers.get("Retry-After"),
                            time.monotonic() - started))
        except OSError:
            answers.append((time.monotonic(), 0, None, 0))
        time.sleep(rng.uniform(0.5, 1.5) * CALLER_INTERVAL_S)


def most_in_a_second(times):
    return max((sum(1 for x in times if t <= x < t + 1) for t in times),
               default=0)


def arrivals(target, since, until):
    return sorted(x["t"] for x in target.read_records()
                  if since <= x["t"] <= until and x["what"] != "told cold")


def find_told(target, since):
    return min((x["t"] for x in target.read_records()
                if x["t"] >= since and x["what"] == "told cold"),
               default=float("inf"))


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


def turn_cold(targets):
    """Returns whether targets kept to the bound, what they got, and the answers
    that callers got meanwhile."""
    started = time.monotonic()
    for target in targets:
        target.set_answer(work_s=WORK_S, cold_until=time.time() + COLD_S)
    ended = started + COLD_S
    time.sleep(KILL_AFTER_S)
    # A hub that waits for its disk takes longer to end than the targets are cold.
    kill_leader()
    time.sleep(max(0, ended - time.monotonic()))
    for target in targets:
        target.set_answer(work_s=WORK_S)
    kept = True
    got = 0
    for target in targets:
        told = find_told(target, started)
        times = arrivals(target, told + LEARN_S, ended)
        most = most_in_a_second(times)
        print(target.name, "told after", round(told - started, 2), "most",
              most, "allowed", PER_S * OVERSHOOT + SLACK, "of", len(times),
              file=sys.stderr)
        kept = kept and told < ended - 2 and \
            most <= PER_S * OVERSHOOT + SLACK
        got += len(times)
    return kept, got, [x for x in answers if started + TOLD_S <= x[0] <= ended]


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
    threads = [threading.Thread(target=send, args=(i,), daemon=True)
               for i in range(CALLERS)]
    for thread in threads:
        thread.start()
    time.sleep(3)
    now = time.monotonic()
    warm = [most_in_a_second(arrivals(x, now - 2, now)) for x in targets]
    print("warm targets", warm, file=sys.stderr)
    print("warm targets get well above the bound:",
          min(warm) >= 1.3 * (PER_S * OVERSHOOT + SLACK))

    kept, got, seen = turn_cold(targets[:1])
    print("one cold target of four stays within its bound:", kept)
    served = sum(1 for x in seen if x[1] == 200)
    print(served, "of", len(seen), "served,", got, "by the cold one",
          file=sys.stderr)
    print("the others serve nearly all:", served >= 0.98 * len(seen))
    print("the cold one is used:", got > 0)

    since = time.monotonic()
    time.sleep(3)
    counts = [len(arrivals(x, since + 1, since + 3)) for x in targets]
    print("counts when all are warm", counts, file=sys.stderr)
    print("when it is warm it gets its share:",
          counts[0] >= 0.5 * sum(counts) / len(counts))

    kept, got, seen = turn_cold(targets)
    print("four cold targets of four stay within their bounds:", kept)
    refused = [x for x in seen if x[1] == 503]
    served = sum(1 for x in seen if x[1] == 200)
    print(served, "of", len(seen), "served,", len(refused), "refused",
          file=sys.stderr)
    print("most of what they tolerate is served:",
          got >= 0.7 * TARGETS * PER_S * (COLD_S - TOLD_S))
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
