"""A request that crashes the servers that run it comes again, while the leading
hub is killed after every second crash: its count starts anew each time."""
import http.client
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "common-3"))

from small_fleet import (CONNECTIVITY_WINDOW_S, WORKS, Unable, call,  # noqa
                         document, play)

SERVERS = 5
CRASHES_A_LEADER = 2
LEADERS = 4
OTHERS = 16
WORK_S = 0.3
RETRIES_MAX = 3  # BUDGET: "in more than three retries"
DOWN_S = 0.5
MARGIN_S = 0.6


class Ordinary(threading.Thread):
    """Requests of their own, which run on the same servers."""

    def __init__(self, small, number):
        super().__init__(daemon=True)
        self.small = small
        self.number = number
        self.is_over = False
        self.failed = []  # ids of those that were not served

    def run(self):
        count = 0
        while not self.is_over:
            count += 1
            name = f"other-{self.number}-{count}"
            status = 0
            try:
                status = call(
                    *self.small.front(self.number % 2), "POST", f"/x/{name}",
                    name.encode(), {
                        "Host": "a.example", "Api-Key": "key-one",
                        "Tarragonmoor-Attempt-Id": name,
                        "Tarragonmoor-Deadline-Ms": "3000"})[0]
            except (OSError, http.client.HTTPException):
                pass
            if status != 200:
                self.failed.append(name)
                self.small.record.write(name, "answer", status)
            time.sleep(0.05)


class Player:
    def __init__(self, small):
        self.small = small
        self.sent = 0
        self.core_ms = time.monotonic()  # last kill or start of a hub

    def find_leader(self):
        fleet = self.small.fleet
        for i, ip in enumerate(fleet.hubs):
            try:
                if call(ip, fleet.control_port, "GET",
                        "/tarragonmoor/config/get", timeout=1)[0] == 200:
                    return i
            except (OSError, http.client.HTTPException):
                pass
        return None

    def kill_leader(self):
        fleet = self.small.fleet
        self.small.wait(lambda: self.find_leader() is not None, "no leader")
        leader = self.find_leader()
        process = fleet.processes[f"hub{leader}"]
        process.kill()
        process.wait()
        self.small.record.write("hub", leader, "led and is killed")
        time.sleep(DOWN_S)
        fleet.start_hub(leader, False)
        self.core_ms = time.monotonic()

    def is_in_touch(self):
        return time.monotonic() - self.core_ms > (
            CONNECTIVITY_WINDOW_S + MARGIN_S)

    def restart_servers(self):
        for server in self.small.servers:
            if server.has_ended():
                server.start_again()

    def count_crashes(self):
        return sum(item["what"] == "crashed"
                   for item in self.small.read_runs())

    def send(self):
        """The same path, caller and body each time, at any gate."""
        self.sent += 1
        gate = self.sent % len(self.small.fleet.gates)
        status = 0
        try:
            status = call(*self.small.front(gate), "POST", "/x/poison",
                          b"crash", {
                              "Host": "a.example", "Api-Key": "key-one",
                              "Tarragonmoor-Attempt-Id": f"poison-{self.sent}",
                              "Tarragonmoor-Deadline-Ms": "3000"})[0]
        except (OSError, http.client.HTTPException):
            pass
        self.small.record.write(f"poison-{self.sent} at gate{gate} answer",
                                status)

    def crash_one(self):
        """@return 0 if the request is kept from the servers"""
        before = self.count_crashes()
        for _ in range(4):
            while not self.is_in_touch():
                time.sleep(0.1)
            self.send()
            time.sleep(0.3)
            if self.count_crashes() > before:
                time.sleep(CONNECTIVITY_WINDOW_S)
                self.restart_servers()
                time.sleep(1)
                return 1
            time.sleep(0.5)
        return 0


def run(small):
    small.start(document(7, ["key-one"]))
    for server in small.servers:
        server.set_answer(work_s=WORK_S)
    others = [Ordinary(small, i) for i in range(OTHERS)]
    for other in others:
        other.start()
    player = Player(small)
    for i in range(LEADERS):
        for _ in range(CRASHES_A_LEADER):
            player.crash_one()
        if WORKS and i + 1 < LEADERS:
            player.kill_leader()
    crashes = [item["t"] for item in small.read_runs()
               if item["what"] == "crashed"]
    if len(crashes) < 3:
        raise Unable("fewer than three crashes")
    late = [t for t in crashes[3:] if t > crashes[2] + CONNECTIVITY_WINDOW_S]
    for other in others:
        other.is_over = True
    for other in others:
        other.join(5)
    failed = {name for other in others for name in other.failed}
    lost = [item["id"] for item in small.read_runs()
            if item["id"] in failed and item["t"] > crashes[2]]
    small.record.write("crashes:", len(crashes), "of these later than",
                       CONNECTIVITY_WINDOW_S, "s after the third:", len(late))
    small.record.write("other requests that ran after the third crash and were "
                       "not served:", len(lost), *lost)
    print("crashes:", len(crashes), "late retries:", len(late),
          "other requests lost since the third:", len(lost))
    return 1 if len(late) > RETRIES_MAX else 0


play(__file__, run, servers=SERVERS)
