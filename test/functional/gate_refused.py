"""A target writes its refusals once more on the connections that the gate keeps.
Prints whether a request that ran was answered as one that did not."""
import collections
import os
import random
import sys
import time

from platform_fleet import WAIT_S, Fleet, TargetProcess, call

BUILD, WORK = sys.argv[1], sys.argv[2]
NET = f"127.{random.randrange(80, 120)}.{random.randrange(1, 250)}"
REQUESTS = 80
NOT_RUN = (408, 421, 429, 503)

fleet = Fleet(BUILD, WORK, [f"{NET}.{i + 1}" for i in range(3)], [f"{NET}.20"])


def request(name):
    return call(fleet.gates[0], fleet.front, "POST", "/x/1", b"body",
                {"Host": "a.example", "Tarragonmoor-Attempt-Id": name,
                 "Tarragonmoor-Deadline-Ms": "1500", "Api-Key": "key-one"})[0]


def check(what, targets, names):
    """Sends requests one after the other and compares answers and records."""
    answers = collections.defaultdict(list)
    for name in names:
        answers[name].append(request(name))
    runs = collections.Counter(
        x["id"] for target in targets for x in target.read_records()
        if x["what"] == "ran")
    sent = sum(len(x) for x in answers.values())
    served = sum(x.count(200) for x in answers.values())
    wrong = [name for name, statuses in answers.items()
             if runs[name] > sum(s not in NOT_RUN for s in statuses)]
    twice = [name for name, statuses in answers.items()
             if runs[name] > len(statuses)]
    print(what, "served", served, "of", sent, "wrong", len(wrong), "twice",
          len(twice), file=sys.stderr)
    print(f"{what}: answered as not run, though run:", len(wrong))
    print(f"{what}: run more often than sent:", len(twice))
    print(f"{what}: most are served:", served >= 0.6 * sent)


def main():
    fleet.start_all(["key-one"])
    targets = [TargetProcess(fleet, f"t{i}") for i in range(2)]
    fleet.wait("gate serves", lambda: request(
        f"first-{time.monotonic()}") == 200, WAIT_S)
    for target in targets:
        target.set_answer(refuse_every=3, repeat="without id")
    check("without an id", targets, [f"a-{i}" for i in range(REQUESTS)])
    for target in targets:
        target.set_answer(refuse_every=3, repeat="as it was")
    check("with its id", targets, [f"b-{i}" for i in range(REQUESTS)])
    # A caller sends a refused request again under its id.
    check("with the same id again", targets,
          [f"c-{i // 4}" for i in range(REQUESTS)])


try:
    main()
finally:
    fleet.kill_all()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(0)
