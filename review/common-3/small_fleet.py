"""A small deployment for the scripts of this review: hubs, gates and servers as
processes on loopback, with the programs of the deploy file, and a record of what
was sent, answered and run. Uses the project's stand-ins in test/functional."""
import http.client
import json
import os
import random
import shutil
import socket
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "test", "functional"))

from platform_fleet import Fleet, TargetProcess, call, document  # noqa: E402

WORKS = os.environ.get("TROUBLE", "1") != "0"  # the disruption is played
CONNECTIVITY_WINDOW_S = 3
# What deploy/gate.json and deploy/hub.json render from the settings of the
# small deployments (DEPLOY.md, site gmpco-veg).
GATE_SETTINGS = {
    "revoke_within_s": 5, "stop_within_s": 6, "rate_window_s": 5,
    "rate_overshoot": 0.1, "rate_slack": 20, "dialect": "platform",
    "requirements": ["base", "drain", "config", "cost", "retry", "recover",
                     "health", "tenants", "quota"], "log_level": "info"}
HUB_SETTINGS = {
    "retry_ratio": 0.2, "retry_burst": 60, "rate_window_s": 5,
    "rate_overshoot": 0.1, "rate_slack": 20, "used_share_min": 0.7,
    "requirements": GATE_SETTINGS["requirements"],
    "lost_data_centres_max": 0, "data_centres": ["z1"],
    "dialect": "platform", "log_level": "info"}


class Unable(Exception):
    """The case could not run."""


class Record:
    def __init__(self, folder):
        self.lock = threading.Lock()
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8", buffering=1)

    def write(self, *words):
        with self.lock:
            text = " ".join(str(word) for word in words)
            self.file.write(f"{time.monotonic() - self.start:9.3f} {text}\n")


class SmallFleet:
    def __init__(self, case_file, hubs=3, gates=2, servers=4):
        self.folder = os.path.dirname(os.path.abspath(case_file))
        self.record = Record(self.folder)
        self.work = tempfile.mkdtemp(prefix="review-")
        net = f"127.{random.randrange(60, 250)}.{random.randrange(1, 250)}"
        self.fleet = Fleet(os.path.join(ROOT, "target"), self.work,
                           [f"{net}.{1 + i}" for i in range(hubs)],
                           [f"{net}.{20 + i}" for i in range(gates)])
        self.fleet.hub_settings = HUB_SETTINGS
        self.fleet.gate_settings = {i: GATE_SETTINGS for i in range(gates)}
        self.server_count = servers
        self.servers = []

    def start(self, config):
        fleet = self.fleet
        for i in range(len(fleet.hubs)):
            fleet.start_hub(i, True)
        for i in range(len(fleet.gates)):
            fleet.start_gate(i)
        if not self.put(config):
            raise Unable("the configuration was not acknowledged")
        self.servers = [TargetProcess(fleet, f"server{i}")
                        for i in range(self.server_count)]
        self.wait(lambda: all(self.is_ready(i)
                              for i in range(len(fleet.gates))),
                  "the gates are not ready")
        # All machines are in touch from here on.
        time.sleep(2 * CONNECTIVITY_WINDOW_S)

    def put(self, config):
        status, _ = self.fleet.control(
            "POST", "/tarragonmoor/config/put", config)
        self.record.write("operator puts version", config["Version"],
                          "answer", status)
        return status == 200

    def is_ready(self, gate):
        try:
            return self.fleet.is_ready(gate)
        except (OSError, http.client.HTTPException):
            return False

    def wait(self, condition, problem, seconds=20):
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise Unable(problem)
            time.sleep(0.05)

    def front(self, gate):
        return self.fleet.gates[gate], self.fleet.front

    def has_ended(self, name):
        return self.fleet.processes[name].poll()

    def read_runs(self):
        """What the servers ran: a list of records, see platform_target.py."""
        runs = []
        for server in self.servers:
            if os.path.exists(server.record):
                runs += [item for item in server.read_records()
                         if item["what"] in ("ran", "crashed")]
        return sorted(runs, key=lambda item: item["t"])

    def end(self):
        self.fleet.kill_all()
        for process in self.fleet.processes.values():
            process.wait()
        shutil.rmtree(self.work, ignore_errors=True)


def play(case_file, run, **sizes):
    """Runs a case; run(fleet) returns 1 if the rule was broken."""
    small = SmallFleet(case_file, **sizes)
    status = 2
    try:
        status = run(small)
    except Unable as problem:
        small.record.write("not played:", problem)
        print("not played:", problem)
    finally:
        small.end()
    small.record.write("exit", status)
    sys.stdout.flush()
    os._exit(status)
