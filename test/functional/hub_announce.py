"""Targets that announce themselves only at hubs that do not lead."""
import http.client
import json
import os
import sys
import threading
import time

from platform_fleet import Fleet, Target, call, document

BUILD, WORK = sys.argv[1], sys.argv[2]
HUBS = ["127.0.1.61", "127.0.1.62", "127.0.1.63"]
GATES = ["127.0.1.64"]
INTERVAL_S = 0.5
# Within this time after the acknowledgement draining must be in force.
DRAIN_S = 2
fleet = Fleet(BUILD, WORK, HUBS, GATES)
count = 0


def find_leader():
    for i, ip in enumerate(HUBS):
        try:
            text = call(ip, fleet.metrics, "GET", "/metrics")[1].decode()
        except OSError:
            continue
        if "tm_hub_is_leading 1" in text:
            return i
    return None


def sum_announcements(outcome):
    """Of the hubs that do not lead."""
    total = 0
    for i, ip in enumerate(HUBS):
        if i == find_leader():
            continue
        try:
            text = call(ip, fleet.metrics, "GET", "/metrics")[1].decode()
        except OSError:
            continue
        for line in text.splitlines():
            if line.startswith("tm_hub_announcements_total") and \
                    f'"{outcome}"' in line:
                total += int(line.split()[-1])
    return total


class Announcer:
    """Announces a target at the hubs that do not lead. It follows neither
    redirects nor HeartbeatUrl."""

    def __init__(self, name):
        self.target = Target(fleet, name)
        self.state = "ready"
        self.acked = []  # status and state
        self.is_paused = False
        self.hubs = []
        threading.Thread(target=self.run, daemon=True).start()

    def send(self, ip, verb="heartbeat"):
        target = self.target
        state = self.state
        target.sequence += 1
        body = {"Service": "s1", "Address": f"127.0.0.1:{target.port}",
                "Zone": "z1", "Version": "v1", "MaxConcurrency": 4,
                "State": state, "WarmupLeftS": 0,
                "Sequence": target.sequence, "born": 1000}
        try:
            status, answer, _ = call(
                ip, fleet.control_port, "POST",
                f"/tarragonmoor/instances/{target.id}/{verb}",
                json.dumps(body), timeout=1)
        except (OSError, http.client.HTTPException):
            return 0, b""
        self.acked.append((status, state))
        return status, answer

    def run(self):
        while True:
            time.sleep(INTERVAL_S)
            for ip in list(self.hubs):
                if self.is_paused or self.send(ip)[0] == 200:
                    break


def request():
    global count
    count += 1
    return call(GATES[0], fleet.front, "POST", "/x/1", None, {
        "Host": "a.example", "Tarragonmoor-Attempt-Id": f"req{count}",
        "Tarragonmoor-Deadline-Ms": "4000", "Api-Key": "key-one"})


def serves(*names):
    seen = set()
    for _ in range(20):
        status, body, _ = request()
        if status != 200:
            return False
        seen.add(body.decode().replace("from ", ""))
    return seen == set(names)


def followers():
    """Hubs that run and do not lead."""
    leader = find_leader()
    return [ip for i, ip in enumerate(HUBS) if i != leader and
            fleet.processes[f"hub{i}"].poll() is None]


def set_hubs(announcers):
    for announcer in announcers:
        announcer.hubs = followers()


def acknowledge(what, announcer, which, verb="heartbeat"):
    """A target sends again until it is answered, as hubs may be in an election."""
    def is_acknowledged():
        hubs = followers()
        return announcer.send(hubs[which % len(hubs)], verb)[0] == 200
    fleet.wait(what, is_acknowledged)


def main():
    fleet.start_all(["key-one"])
    fleet.wait("a hub leads", lambda: find_leader() is not None)
    announcers = [Announcer("t1"), Announcer("t2")]
    set_hubs(announcers)
    fleet.wait("requests are served by both", lambda: serves("t1", "t2"))
    time.sleep(6)
    print("after 6 s", serves("t1", "t2"))
    print("answered by followers", sum_announcements("answered") > 10)
    print("passed on", sum_announcements("passed_on") >= 2)
    fleet.wait("the next ones are wanted at the leader", lambda: json.loads(
        announcers[0].send(followers()[0])[1]) == {
            "HeartbeatUrl": f"{HUBS[find_leader()]}:{fleet.control_port}"})

    announcers[1].is_paused = True
    time.sleep(INTERVAL_S)
    announcers[1].state = "draining"
    acknowledge("draining at a follower", announcers[1], 1)
    time.sleep(DRAIN_S)
    announcers[1].target.ran.clear()
    print("it is in force", serves("t1"), len(announcers[1].target.ran))

    announcers[1].state = "ready"
    acknowledge("back at the other one", announcers[1], 0)
    fleet.wait("it gets requests again", lambda: serves("t1", "t2"))
    acknowledge("deregistered at a follower", announcers[1], 1, "deregister")
    for ip in HUBS * 2:
        announcers[1].send(ip)
    time.sleep(DRAIN_S)
    announcers[1].target.ran.clear()
    print("announcements after it revive nothing", serves("t1"),
          len(announcers[1].target.ran))

    third = Announcer("t3")
    set_hubs([third])
    fleet.wait("another target", lambda: serves("t1", "t3"))
    third.is_paused = True
    time.sleep(INTERVAL_S)
    third.state = "draining"
    third.target.sequence += 10000
    acknowledge("draining before the leader is killed", third, 0)
    leader = find_leader()
    fleet.processes[f"hub{leader}"].kill()
    fleet.processes[f"hub{leader}"].wait()
    third.target.ran.clear()
    third.state = "ready"
    third.target.sequence = 0
    fleet.wait("another hub leads",
               lambda: find_leader() not in (None, leader))
    set_hubs([announcers[0]])
    acknowledge("an older announcement of the target", third, 1)
    time.sleep(6)
    print("draining holds, the other target is in use", serves("t1"))
    fleet.wait("announcements are answered again",
               lambda: all(status == 200
                           for status, _ in announcers[0].acked[-4:]))


try:
    main()
finally:
    fleet.kill_all()
    sys.stdout.flush()
    os._exit(0)
