"""Sends requests to two gates, one of which chooses by work
and one by requests, for a service with a fast and a slow target. Compares where
they went, and what the gates report on their cost."""
import json
import os
import random
import re
import sys
import threading
import time

from platform_fleet import WAIT_S, Fleet, TargetProcess, call

BUILD, WORK = sys.argv[1], sys.argv[2]
NET = f"127.{random.randrange(160, 200)}.{random.randrange(1, 250)}"
# Longer than the time between two reports on a service (30 s).
SECONDS = 36
LEARNING_S = 6
FAST_S, SLOW_S = 0.03, 0.09
# Requests of a gate at the same time. One after the other all go, by requests, to
# the target that got the first one, as its connection can be reused.
SENDERS = 8
# Of a target: with fewer the service is full at times on a busy machine, and refuses.
SLOTS = 64
REASONS = ("first", "busy", "idle", "idle_learned", "closed_idle",
           "closed_last", "failed", "cancelled", "dropped", "id")

fleet = Fleet(BUILD, WORK, [f"{NET}.{i + 1}" for i in range(3)],
              [f"{NET}.20", f"{NET}.21"])
fleet.hub_settings = {"requirements": ["scarce_capacity"]}
fleet.gate_settings = {
    0: {"requirements": ["scarce_capacity"]},
    1: {"requirements": ["scarce_capacity"], "choice": "requests"}}


def request(gate, name):
    return call(fleet.gates[gate], fleet.front, "POST", "/x/1", b"body",
                {"Host": "a.example", "Tarragonmoor-Attempt-Id": name,
                 "Tarragonmoor-Deadline-Ms": "3000", "Api-Key": "key-one"})[0]


def send(gate, statuses, end):
    while time.monotonic() < end:
        statuses.append(request(gate, f"g{gate}-{time.monotonic_ns()}"))


def get_slow_share(slow, gate, begin):
    """Share of the requests of a gate that the slow target ran."""
    ran = {target: sum(x["what"] == "ran" and x["t"] >= begin and
                       x["id"].startswith(f"g{gate}-")
                       for x in target.read_records())
           for target in (fast_target, slow)}
    share = ran[slow] / max(1, sum(ran.values()))
    print(f"gate{gate}: {list(ran.values())}", file=sys.stderr)
    return share


def read_metric(gate, name):
    text = call(fleet.gates[gate], fleet.metrics, "GET", "/metrics")[1]
    found = re.search(name + r'\{service="[^"]*"\} (\d+)', text.decode())
    return int(found[1]) if found else -1


def read_events(gate, number):
    with open(f"{WORK}/gate{gate}.log", encoding="utf-8") as log:
        return [json.loads(line) for line in log
                if f'"event":{number},' in line]


def check_connections(gate):
    """Whether the reasons of new connections add up, in the log and as metrics."""
    events = read_events(gate, 981)
    text = call(fleet.gates[gate], fleet.metrics, "GET",
                "/metrics")[1].decode()
    by_reason = re.findall(
        r'tm_gate_new_connections_total\{[^}]*\} (\d+)', text)
    total = int(re.search(r"tm_gate_connections_total (\d+)", text)[1])
    print(events, by_reason, total, file=sys.stderr)
    print("  connections logged:", len(events) > 0, all(
        0 <= event["opened"] <= event["attempts"] and event["opened"] ==
        sum(event[reason] for reason in REASONS) for event in events))
    print("  connections counted:",
          0 < total == sum(int(value) for value in by_reason))


def main():
    global fast_target
    fleet.start_all(["key-one"])
    fast_target = TargetProcess(fleet, "fast")
    fast_target.set_answer(work_s=FAST_S, slots=SLOTS)
    slow = TargetProcess(fleet, "slow")
    slow.set_answer(work_s=SLOW_S, slots=SLOTS)
    for gate in (0, 1):
        fleet.wait(f"gate{gate} serves", lambda: request(
            gate, f"first-{time.monotonic()}") == 200, WAIT_S)
    begin = time.monotonic()
    statuses = {0: [], 1: []}
    threads = [threading.Thread(target=send, args=(
        gate, statuses[gate], begin + SECONDS))
               for gate in (0, 1) for _ in range(SENDERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    learned = begin + LEARNING_S
    by_work = get_slow_share(slow, 0, learned)
    by_requests = get_slow_share(slow, 1, learned)
    print("all served:", set(statuses[0] + statuses[1]) == {200})
    print("the slow target gets much less by work:",
          by_work < 0.6 * by_requests)
    for gate in (0, 1):
        responses = read_metric(gate, "tm_gate_cost_responses_total")
        missed = read_metric(gate, "tm_gate_cost_missed_total")
        expected = read_metric(gate, "tm_gate_cost_expected_ms_total")
        seen = read_metric(gate, "tm_gate_cost_seen_ms_total")
        print(f"{gate}: {responses=} {missed=} {expected=} {seen=}",
              file=sys.stderr)
        print(f"gate{gate}: responses counted:",
              0.9 * len(statuses[gate]) < responses <= len(statuses[gate]) + 9)
        print("  estimates within a factor of two:",
              0.5 * seen < expected < 2 * seen,
              0 <= missed < 0.2 * responses)
        for event in read_events(gate, 978)[:1]:
            print("  logged:", event["service"], event["responses"] > 0,
                  event["expected_ms"] > 0, event["seen_ms"] > 0,
                  event["missed"] >= 0)
        print(read_events(gate, 978) + read_events(gate, 979),
              file=sys.stderr)
        check_connections(gate)
    # By work the slow target gets too few requests to be known for long.
    print("the slowest target stands out:",
          read_metric(1, "tm_gate_slowest_target_percent") > 120)
    for event in read_events(1, 979)[:1]:
        print("named:", event["target"], event["rank"],
              event["slowness_percent"] > 120)


try:
    main()
finally:
    fleet.kill_all()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(0)
