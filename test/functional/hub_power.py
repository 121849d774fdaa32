"""Eight hubs, of which five have seats, and two gates lose power and come back;
twenty documents are in the log."""
import http.client
import json
import random
import sys
import time

from platform_fleet import Fleet, call, document

BUILD, WORK = sys.argv[1], sys.argv[2]
NET = f"127.{random.randrange(120, 160)}.{random.randrange(1, 250)}"
HUBS = 8
GATES = 2
DOCUMENTS = 20
PARSED = 912  # event of a document that a hub has parsed

fleet = Fleet(BUILD, WORK, [f"{NET}.{i + 1}" for i in range(HUBS)],
              [f"{NET}.{20 + i}" for i in range(GATES)])


def put(version):
    return fleet.control("POST", "/tarragonmoor/config/put",
                         document(version, ["key-one"]))[0]


def knows_leader(i):
    """Whether a hub serves or names the leader."""
    return call(fleet.hubs[i], fleet.control_port, "GET",
                "/tarragonmoor/config/get")[0] in (200, 307)


def count_parsed(name):
    """Documents that a hub has parsed since its last start."""
    with open(f"{fleet.work}/{name}.log", encoding="utf-8") as log:
        log.seek(fleet.log_sizes[name])
        return sum(1 for line in log if f'"event":{PARSED},' in line)


def read_version():
    try:
        return json.loads(fleet.control(
            "GET", "/tarragonmoor/config/get")[1])["Version"]
    except (ValueError, OSError, http.client.HTTPException):
        return 0


try:
    fleet.start_all(["key-one"])
    fleet.wait("the gates are ready",
               lambda: all(fleet.is_ready(i) for i in range(GATES)))
    fleet.wait("all hubs know the leader",
               lambda: all(knows_leader(i) for i in range(HUBS)))
    statuses = {put(100 + i) for i in range(DOCUMENTS)}
    print("changes:", statuses)
    time.sleep(1)
    fleet.kill_all()
    for process in fleet.processes.values():
        process.wait()
    for i in range(HUBS):
        fleet.start_hub(i, False)
    for i in range(GATES):
        fleet.start_gate(i)
    fleet.wait("the gates are ready again",
               lambda: all(fleet.is_ready(i) for i in range(GATES)))
    fleet.wait("all hubs know the leader again",
               lambda: all(knows_leader(i) for i in range(HUBS)))
    print("read back:", read_version() == 100 + DOCUMENTS - 1)
    # A snapshot may bring an older document before the log brings the newest.
    print("few documents parsed:",
          all(count_parsed(f"hub{i}") <= 2 for i in range(HUBS)))
finally:
    fleet.kill_all()
