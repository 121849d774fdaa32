"""DRAIN: after a short stall of the core, machines go on with an old table of
servers: a server that has said that it leaves still gets requests."""
import http.client
import json
import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from fleet import (BOUNDS, KEY, CannotRun, Fleet, Record, Reply, Server, call,
                   config)

CLIENTS = 24
PAUSE_S = 0.08
WORK_S = 0.4
# The server that leaves exits so long after its call was acknowledged.
EXIT_S = BOUNDS["DrainS"] + 2
# Two of three hubs stand still for so long, at most so often.
FREEZE_S = 0.35
FREEZES = 28
GAP_S = 1.6
# Leaves time for the check within the 120 s of a script.
FREEZES_END_S = 72


class Load:
    def __init__(self, fleet):
        self.fleet = fleet
        self.stop = False
        self.sent = {}  # attempt: time
        self.answers = {}  # attempt: status
        for i in range(CLIENTS):
            threading.Thread(target=self.run, args=(i,), daemon=True).start()

    def run(self, number):
        gate = self.fleet.gates[number % len(self.fleet.gates)]
        conn = http.client.HTTPConnection(gate, self.fleet.front, timeout=6)
        count = 0
        while not self.stop:
            count += 1
            attempt = f"c{number}-{count}"
            self.sent[attempt] = time.monotonic()
            try:
                conn.request("POST", "/x/1", b"body", {
                    "Host": "a.example", "Tarragonmoor-Attempt-Id": attempt,
                    "Tarragonmoor-Deadline-Ms": "5000", "Api-Key": KEY})
                response = conn.getresponse()
                response.read()
                self.answers[attempt] = response.status
            except (OSError, http.client.HTTPException):
                self.answers[attempt] = 0
                conn.close()
            time.sleep(PAUSE_S)


def find_leader(fleet):
    """The hub that answers a read itself."""
    for ip in fleet.hubs:
        try:
            if call(ip, fleet.control, "GET", "/tarragonmoor/config/get",
                    timeout_s=1)[0] == 200:
                return ip
        except (OSError, http.client.HTTPException):
            pass
    return None


def read_roles(fleet, ip):
    """Terms in which a hub began to lead, from its log. Only tells when to end
    the freezes; the check is made on what servers see."""
    terms = []
    with open(f"{fleet.work}/hub-{ip.rsplit('.', 1)[1]}.log",
              encoding="utf-8") as log:
        for line in log:
            try:
                entry = json.loads(line)
            except ValueError:
                continue
            if entry.get("event") == 913:
                terms.append(entry["term"])
    return terms


def freeze(fleet, record):
    """@return 1 if the leader has lost and regained its majority in a term"""
    leader = find_leader(fleet)
    if leader is None:
        return 0
    before = read_roles(fleet, leader)
    followers = [ip for ip in fleet.hubs if ip != leader]
    for ip in followers:
        fleet.processes[ip].send_signal(signal.SIGSTOP)
    time.sleep(FREEZE_S)
    for ip in followers:
        fleet.processes[ip].send_signal(signal.SIGCONT)
    record.write(f"{followers} stood still for {FREEZE_S} s")
    time.sleep(GAP_S)
    after = read_roles(fleet, leader)
    return len(after) > len(before) and after[-1] == before[-1] and \
        find_leader(fleet) == leader


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(HERE)
    fleet = Fleet(record, hubs=3, gates=2)
    try:
        fleet.start_all(config(7))
        servers = []

        def add_server():
            server = Server(fleet, f"i-{len(servers)}")
            server.reply = lambda request: Reply(work_s=WORK_S)
            servers.append(server)
            return server
        for _ in range(4):
            add_server()
        time.sleep(1)
        load = Load(fleet)
        time.sleep(2)
        stalled = False
        last = time.monotonic() + FREEZES_END_S
        for _ in range(FREEZES if trouble else 4):
            if time.monotonic() > last:
                break
            # Planned: servers are added.
            add_server()
            add_server()
            time.sleep(0.4)
            if trouble and freeze(fleet, record):
                stalled = True
                break
        if trouble and not stalled:
            raise CannotRun("the leader did not lose and regain its majority")
        record.write("calm from here")
        time.sleep(BOUNDS["RecoveryS"])
        # Of those that all gates know and use.
        leaving = max(servers, key=lambda x: len(x.ran))
        leaving.state = "draining"
        if leaving.beat() != 200:
            raise CannotRun("the call was not acknowledged")
        acked = time.monotonic()
        record.write(f"{leaving.id} is draining: acknowledged")
        time.sleep(EXIT_S)
        fleet.call_hubs("POST",
                        f"/tarragonmoor/instances/{leaving.id}/deregister",
                        json.dumps({"born": leaving.born}), limit_s=3)
        leaving.end()
        time.sleep(1)
        load.stop = True
        time.sleep(1)
        late = [(when - acked, attempt) for when, attempt in leaving.ran
                if when > acked + BOUNDS["DrainS"]]
        for when, attempt in late:
            record.write(f"{leaving.id} was sent {attempt} {when:.2f} s after "
                         "it was acknowledged that it drains")
            if load.answers.get(attempt) != 200:
                record.write(f"{attempt} was cut off by the end of "
                             f"{leaving.id}: {load.answers.get(attempt)}")
        served = sum(1 for x in load.answers.values() if x == 200)
        record.write(f"late: {len(late)}; served: {served} of "
                     f"{len(load.answers)}")
        if served < 0.5 * len(load.answers):
            raise CannotRun("too few requests were served")
        return 1 if late else 0
    finally:
        fleet.stop()


try:
    STATUS = main()
except CannotRun as problem:
    print("cannot run:", problem)
    STATUS = 2
print({0: "held", 1: "broken", 2: "not run"}[STATUS])
sys.stdout.flush()
os._exit(STATUS)
