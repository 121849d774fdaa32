"""Announcements of another writer, whose service no configuration names, with
addresses and ids of targets that are in use; before and after another hub leads."""
import json
import sys
import threading
import time

from platform_fleet import Fleet, Target, call, document

BUILD, WORK = sys.argv[1], sys.argv[2]
HUBS = ["127.0.1.71", "127.0.1.72", "127.0.1.73"]
GATES = ["127.0.1.74"]
INTERVAL_S = 0.5
# After it an announcement is in force at the gate, were it believed.
SETTLE_S = 3
REQUESTS = 30
fleet = Fleet(BUILD, WORK, HUBS, GATES)
targets = []
requests = 0
writers = 0


def find_leader():
    for i, ip in enumerate(HUBS):
        if fleet.processes[f"hub{i}"].poll() is not None:
            continue
        try:
            text = call(ip, fleet.metrics, "GET", "/metrics")[1].decode()
        except OSError:
            continue
        if "tm_hub_is_leading 1" in text:
            return i
    return None


def announce_all():
    while True:
        for target in targets:
            target.beat()
        time.sleep(INTERVAL_S)


def request():
    global requests
    requests += 1
    return call(GATES[0], fleet.front, "POST", "/x/1", None, {
        "Host": "a.example", "Tarragonmoor-Attempt-Id": f"req{requests}",
        "Tarragonmoor-Deadline-Ms": "4000", "Api-Key": "key-one"})


def count_in_use():
    """Targets that get requests; none if one is not served."""
    seen = set()
    for _ in range(REQUESTS):
        status, body, _ = request()
        if status != 200:
            return 0
        seen.add(body)
    return len(seen)


def write_other(target, **fields):
    """Sends a heartbeat to each hub, with an id of its own unless one is given."""
    global writers
    writers += 1
    name = fields.pop("id", f"other-{writers}")
    body = json.dumps({
        "Service": "not-in-the-configuration", "Zone": "z9", "Version": "v1",
        "Address": f"127.0.0.1:{target.port}", "MaxConcurrency": 4,
        "State": "ready", "WarmupLeftS": 0, "Sequence": 1,
        "born": int(time.time() * 1000), **fields})
    post(f"/tarragonmoor/instances/{name}/heartbeat", body)


def post(path, body):
    """Calls each hub."""
    for i, ip in enumerate(HUBS):
        if fleet.processes[f"hub{i}"].poll() is not None:
            continue
        status, _, headers = call(ip, fleet.control_port, "POST", path, body)
        if status == 307:
            host = headers["Location"].split("/")[2].split(":")[0]
            call(host, fleet.control_port, "POST", path, body)


def write_all():
    """An address; an id with a later start, or a higher sequence; a state; leaves
    with bodies that no target writes."""
    write_other(targets[0])
    write_other(targets[1], id=targets[1].id)
    write_other(targets[1], id=targets[1].id, born=1000, Sequence=10**6,
                Address="127.0.0.1:9")
    write_other(targets[2], id=targets[2].id, State="draining")
    write_other(targets[2], State="not-a-state", Service="s1")
    path = f"/tarragonmoor/instances/{targets[2].id}/deregister"
    post(path, "\x00not a body")
    post(path, json.dumps({"born": "today"}))
    post(path, json.dumps({"Service": "not-in-the-configuration"}))


def main():
    fleet.start_all(["key-one"])
    targets.extend(Target(fleet, f"t{i}") for i in range(3))
    threading.Thread(target=announce_all, daemon=True).start()
    fleet.wait("the gate is ready", lambda: fleet.is_ready(0))
    fleet.wait("all targets are in use", lambda: count_in_use() == 3)
    write_all()
    time.sleep(SETTLE_S)
    print("they stay in use:", count_in_use())
    leader = find_leader()
    print("the leader tells:",
          fleet.log_has(f"hub{leader}", "not in the configuration"))
    fleet.processes[f"hub{leader}"].kill()
    fleet.wait("another hub leads", lambda: find_leader() not in (None, leader))
    write_all()
    time.sleep(SETTLE_S)
    print("they stay in use:", count_in_use())
    config = document(8, ["key-one"])
    config["Services"]["s2"] = config["Services"]["s1"]
    fleet.control("POST", "/tarragonmoor/config/put", config)
    write_all()
    time.sleep(SETTLE_S)
    print("after a change of the configuration:", count_in_use())


try:
    main()
finally:
    fleet.kill_all()
