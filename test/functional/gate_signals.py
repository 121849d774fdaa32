"""Targets say in their responses that they leave, or want no requests for a time.
Prints whether each gate keeps to what it was told."""
import os
import random
import sys
import threading
import time

from platform_fleet import WAIT_S, Fleet, TargetProcess, call

BUILD, WORK = sys.argv[1], sys.argv[2]
NET = f"127.{random.randrange(120, 160)}.{random.randrange(1, 250)}"
GATES = 3
CALLERS = 6
CALLER_INTERVAL_S = 0.05
# Of the platform.
LEARN_S = 0.5
REQUESTS_MAX = 2
DRAIN_S = 2
PAUSE_S = 3
LONG_PAUSE_S = 7200
CALLER_WAIT_MAX_S = 60

fleet = Fleet(BUILD, WORK, [f"{NET}.{i + 1}" for i in range(3)],
              [f"{NET}.{i + 20}" for i in range(GATES)])
stop = threading.Event()
statuses = []


def request(gate, name, is_safe=False):
    """The name tells the gate to those who read the records."""
    return call(fleet.gates[gate], fleet.front, "GET" if is_safe else "POST",
                "/open/1" if is_safe else "/x/1", b"body",
                {"Host": "a.example", "Tarragonmoor-Attempt-Id": name,
                 "Tarragonmoor-Deadline-Ms": "3000", "Api-Key": "key-one"})


def send(number):
    count = 0
    while not stop.is_set():
        count += 1
        gate = number % GATES
        try:
            statuses.append(request(gate, f"g{gate}-{number}-{count}",
                                    count % 3 == 0)[0])
        except OSError:
            statuses.append(0)
        time.sleep(CALLER_INTERVAL_S)


def arrivals(target, since):
    """Times of the arrivals since then, by gate."""
    found = {gate: [] for gate in range(GATES)}
    for entry in target.read_records():
        if entry["t"] >= since and entry["id"].startswith("g"):
            found[int(entry["id"][1])].append(entry["t"])
    return found


def check_pause(targets):
    since = time.monotonic()
    for target in targets:
        target.set_answer(status=503, executed=False,
                          headers={"Retry-After": str(PAUSE_S)})
    time.sleep(PAUSE_S)
    for target in targets:
        target.set_answer()
    end = time.monotonic()
    most = 0
    for target in targets:
        for times in arrivals(target, since).values():
            if times:
                most = max(most, sum(
                    1 for t in times if times[0] + LEARN_S <= t <=
                    min(times[0] + PAUSE_S, end)))
    print("most during a pause", most, file=sys.stderr)
    print("targets that want a pause get one:", most <= REQUESTS_MAX)
    time.sleep(6)
    after = min(sum(len(x) for x in arrivals(target, end + 3).values())
                for target in targets)
    print("they get requests again:", after > 0)


def check_odd(target):
    """Values without a meaning are no pause."""
    since = time.monotonic()
    for value in ("-3", "Sat, 05 Dec 2026 08:00:00 GMT", "1e9", "999999999",
                  "", "3, 3"):
        target.set_answer(headers={"Retry-After": value})
        time.sleep(0.3)
    target.set_answer()
    time.sleep(0.5)
    last = max(max(x, default=0) for x in arrivals(target, since).values())
    print("odd values change nothing:", time.monotonic() - last < 0.5)


def check_leaving(target):
    since = time.monotonic()
    target.set_answer(headers={"Server-Leaving": "1"})
    time.sleep(DRAIN_S + 3)
    late = 0
    for times in arrivals(target, since).values():
        if times:
            late += sum(1 for t in times if t > times[0] + DRAIN_S)
    print("late at the leaving target", late, file=sys.stderr)
    print("a target that leaves gets no more requests:", late == 0)


def check_only_target(targets):
    for target in targets:
        target.set_answer(status=503, executed=False,
                          headers={"Retry-After": str(PAUSE_S)})
    # By then each gate has asked each target.
    time.sleep(1)
    started = time.monotonic()
    status, _, headers = request(0, "last")
    took_s = time.monotonic() - started
    wait_s = float(headers.get("Retry-After", 0))
    print("refused with Retry-After", wait_s, "after", took_s, file=sys.stderr)
    print("if all want a pause, requests are refused:", status)
    print("at once, and until the first pause ends:", took_s < 0.3,
          0.5 < wait_s <= PAUSE_S)
    print("the log tells why:",
          fleet.log_has("gate0", '"event":960', '"last"', "targets_paused"),
          all(fleet.log_has("gate0", '"event":966', f'"{target.id}"')
              for target in targets))


def check_long_pause(targets):
    """Each gate asks each target once more, as the short pause ends."""
    for target in targets:
        target.set_answer(status=503, executed=False,
                          headers={"Retry-After": str(LONG_PAUSE_S)})
    time.sleep(PAUSE_S + 1)
    since = time.monotonic()
    time.sleep(2)
    count = sum(len(x) for target in targets
                for x in arrivals(target, since).values())
    print("a pause of two hours counts:", count == 0)
    status, _, headers = request(0, "long")
    wait_s = float(headers.get("Retry-After", 0))
    print("callers come back sooner:", status,
          1 < wait_s <= CALLER_WAIT_MAX_S)


def main():
    fleet.start_all(["key-one"])
    targets = [TargetProcess(fleet, f"t{i}") for i in range(6)]
    for gate in range(GATES):
        fleet.wait(f"gate {gate} serves", lambda: request(
            gate, f"first-{time.monotonic()}")[0] == 200, WAIT_S)
    threads = [threading.Thread(target=send, args=(i,), daemon=True)
               for i in range(CALLERS)]
    for thread in threads:
        thread.start()
    time.sleep(2)
    check_pause(targets[:4])
    check_odd(targets[1])
    check_leaving(targets[2])
    print({x: statuses.count(x) for x in set(statuses)}, file=sys.stderr)
    print("callers are served:",
          statuses.count(200) >= 0.98 * len(statuses))
    check_only_target(targets)
    check_long_pause(targets)
    stop.set()


try:
    main()
finally:
    fleet.kill_all()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(0)
