#!/usr/bin/env python3
"""Runs a scenario file against a fleet of real processes on loopback.

Usage: BUILD=build fleet_scenario.py FILE [--off MECHANISM]

The commands are described in docs/proofs.md. Each command is echoed and each
expectation prints "ok" or "FAILED"; the exit status is 1 if one failed. Checks
of requests read the records of the targets. --off sets TM_TEST_OFF, which
switches a mechanism off in test builds. Only processes of this fleet are ended.
With TMPDIR, the files of the fleet are there while it runs.
"""
import http.client
import json
import os
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import time

from fleet_callers import Callers, boot_ms, read_time_s
from fleet_checks import Checks

BUILD = os.environ.get("BUILD", "build")


class Scenario(Callers, Checks):
    def __init__(self, path):
        self.name = os.path.basename(path).removesuffix(".fleet")
        self.dir = f"{BUILD}/check/fleet-{self.name}"
        self.build = BUILD
        self.failed = 0
        self.extra = {"FLEET_TMPDIR": os.environ.get("TMPDIR", "")}
        self.info = {}
        self.keys = {}
        self.aliases = {}
        self.twins = []
        self.groups = {}  # NAME of a command: list of Answer
        self.threads = {}
        self.stops = {}
        self.loads = {}
        self.marks = {}  # NAME: boot time of an event
        self.changes = {}
        self.seen = {}  # of watch: (VM, workspace) to the values
        self.profile = {"name": "standard", "ejection": "normal",
                        "floor_percent": 50, "repeat": "allowed",
                        "deadline_ms": 2000}

    # Processes

    def script(self, *words, check=True):
        done = subprocess.run(
            ["scripts/fleet.sh", words[0], self.dir, *words[1:]],
            env={**os.environ, **self.extra}, capture_output=True, text=True,
            check=False)
        if check and done.returncode != 0:
            raise RuntimeError(f"{words}: {done.stderr}")
        return done.stdout

    def do_extra(self, kind, text):
        self.extra[f"FLEET_{kind.upper()}_EXTRA"] = text

    def do_start(self, *words):
        self.extra["FLEET_WAIT_S"] = "40"
        self.script("start", *words)
        with open(self.dir + "/fleet.json", encoding="utf-8") as file:
            fleet = json.load(file)
        with open(self.dir + "/token", encoding="utf-8") as file:
            self.token = file.read().strip()
        for kind in ("controls", "entries", "targets"):
            for process in fleet[kind]:
                self.info[process["name"]] = process
        self.entries = [e["name"] for e in fleet["entries"]]
        self.controls = [c["name"] for c in fleet["controls"]]
        for workspace in fleet["workspaces"]:
            with open(f"{self.dir}/key.{workspace}", encoding="utf-8") as file:
                self.keys[workspace] = file.read().strip()
        self.do_settle()

    def do_settle(self):
        """Waits until each shard has 5 ready holders, as far as VMs run."""
        if not self.poll(40, self.is_settled):
            raise RuntimeError("shard groups are not ready")

    def is_settled(self):
        holders = ready = 0
        for name in self.entries:
            groups = self.get(name, "/status").get("groups", {})
            holders += groups.get("holder_of", 0)
            ready += groups.get("ready_for", 0)
        return holders == ready == 64 * min(5, len(self.entries))

    def get(self, vm, path):
        try:
            conn = http.client.HTTPConnection(self.info[vm]["ops"], timeout=2)
            conn.request("GET", path)
            return json.loads(conn.getresponse().read())
        except (OSError, http.client.HTTPException, ValueError):
            return {}

    def admin(self, vm, method, path, body="", headers=None, timeout=12):
        """Status and body of a request to a control VM; status 0: none."""
        try:
            conn = http.client.HTTPConnection(
                self.info[vm]["admin"], timeout=timeout)
            conn.request(method, path, body, {
                "Authorization": "Bearer " + self.token, **(headers or {})})
            reply = conn.getresponse()
            text = reply.read()
            if reply.status == 307:
                host = reply.headers["Location"].split("/")[2]
                for name in self.controls:
                    if self.info[name]["admin"] == host:
                        return self.admin(name, method, path, body, headers)
            return reply.status, json.loads(text)
        except (OSError, http.client.HTTPException, ValueError):
            return 0, {}

    def names(self, text):
        """Names of processes; $control, $leader(w1) and $service(s1) lead."""
        out = []
        for word in text.split(","):
            if word == "$control":
                self.poll(15, lambda: self.find_control() is not None)
                word = self.find_control()
                if word is None:
                    raise RuntimeError("no control leader")
            elif word.startswith("$leader("):
                word = self.find_leader(word[8:-1])
            elif word.startswith("$service("):
                word = self.find_service_leader(word[9:-1])
            elif word.endswith("*"):
                out += [n for n in self.info if n.startswith(word[:-1])]
                continue
            out.append(self.aliases.get(word, word))
        return out

    def find_control(self):
        for name in self.controls:
            status, body = self.admin(name, "GET", "/v1/status", timeout=1)
            if status == 200 and body.get("ready"):
                return name
        return None

    def find_leader(self, workspace):
        for vm in self.entries:
            found = self.get(vm, f"/v1/explain?kind=workspace&name={workspace}")
            for item in found.get("found", []):
                if item.get("leader"):
                    return item["leader"]
        raise RuntimeError(f"no leader of workspace {workspace}")

    def find_service_leader(self, name):
        for vm in self.entries:
            for item in self.get(vm, "/status").get("services", []):
                if item["service"] == name and item.get("leader"):
                    return item["leader"]
        raise RuntimeError(f"no leader of service {name}")

    def signal(self, names, number):
        for name in self.names(names):
            self.script("signal", name, number)

    def do_name(self, name, role):
        """Keeps the process that has a role now under a name."""
        self.aliases[name] = self.names(role)[0]

    def do_freeze(self, names):
        self.signal(names, "STOP")

    def do_resume(self, names):
        self.signal(names, "CONT")

    def do_kill(self, names):
        self.signal(names, "KILL")

    def do_term(self, names):
        for name in self.names(names):
            self.marks[name] = boot_ms()
            self.script("signal", name, "TERM")

    def do_restart(self, names):
        for name in self.names(names):
            self.poll(5, lambda: not self.is_running(name))
            self.script("run", name)

    def do_wipe(self, names):
        for name in self.names(names):
            self.poll(5, lambda: not self.is_running(name))
            folder = f"{self.dir}/{name}.data"
            shutil.rmtree(folder)
            os.mkdir(folder)

    def do_stash(self, name):
        """Puts the data folder of a killed process aside."""
        self.poll(5, lambda: not self.is_running(name))
        os.rename(f"{self.dir}/{name}.data", f"{self.dir}/{name}.stash")
        os.mkdir(f"{self.dir}/{name}.data")

    def do_unstash(self, name):
        shutil.rmtree(f"{self.dir}/{name}.data")
        os.rename(f"{self.dir}/{name}.stash", f"{self.dir}/{name}.data")

    def change_address(self, name, path, **more):
        """Writes a target's settings with other ports to a file."""
        with open(f"{self.dir}/{name}.json", encoding="utf-8") as file:
            settings = json.load(file)
        for field in ("listen", "admin_listen"):
            with socket.socket() as sock:
                sock.bind(("127.0.0.1", 0))
                settings[field] = "127.0.0.1:%d" % sock.getsockname()[1]
        settings.update(more)
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.info[name] = {"name": name, "listen": settings["listen"],
                           "admin": settings["admin_listen"]}

    def do_move(self, names):
        """Gives stopped targets another address."""
        for name in self.names(names):
            self.change_address(name, f"{self.dir}/{name}.json")

    def do_twin(self, name):
        """Starts a newer process of a target at another address."""
        path = f"{self.dir}/{name}-twin.json"
        self.change_address(name, path,
                            record=f"{self.dir}/{name}-twin.record")
        self.marks[name] = boot_ms()
        self.twins.append(subprocess.Popen(
            [BUILD + "/bin/tm-target", "--settings", path],
            stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL))

    def is_running(self, name):
        return f"{name} running" in self.script("status")

    def do_keep_running(self, names, name):
        """Starts targets again whenever they end."""
        def run(stop):
            while not stop.wait(0.1):
                for target in self.names(names):
                    if not stop.is_set() and not self.is_running(target):
                        self.script("run", target, check=False)
        self.start_thread(name, run)

    def cut(self, one, arrow, other, on):
        pairs = [(a, b) for a in self.names(one) for b in self.names(other)]
        if arrow == "<->":
            pairs += [(b, a) for a, b in pairs]
        for sender, receiver in pairs:
            if sender == receiver:
                continue
            path = f"/v1/test/drop?to={receiver}&on={on}"
            info = self.info[sender]
            conn = http.client.HTTPConnection(
                info.get("ops") or info["admin"], timeout=5)
            conn.request("POST", path, "", {
                "Authorization": "Bearer " + self.token})
            if conn.getresponse().status != 200:
                raise RuntimeError(f"cut {sender} {receiver}")

    def do_cut(self, one, arrow, other):
        self.cut(one, arrow, other, 1)

    def do_heal(self, one, arrow, other):
        self.cut(one, arrow, other, 0)

    def do_fault(self, names, text):
        for name in self.names(names):
            conn = http.client.HTTPConnection(self.info[name]["admin"])
            conn.request("PUT", "/faults", text)
            if conn.getresponse().status != 200:
                raise RuntimeError(f"fault {name}")

    def do_sleep(self, text):
        time.sleep(read_time_s(text))

    # Configuration

    def do_profile(self, *words):
        for word in words:
            name, value = word.split("=")
            self.profile[name] = int(value) if value.isdigit() else value
        status, body = self.admin(self.controls[0], "PUT",
                                  "/v1/profiles/standard",
                                  json.dumps(self.profile))
        if status != 200:
            raise RuntimeError(f"profile: {body}")
        self.wait_config()

    def wait_config(self):
        def is_in_force():
            version = self.admin(self.names("$control")[0], "GET",
                                 "/v1/status")[1].get("version", 1 << 60)
            return all(self.get(e, "/status").get("config_index", 0) >= version
                       for e in self.entries if self.is_running(e))
        self.poll(10, is_in_force)

    def do_withdraw(self, workspace):
        key_id = self.keys[workspace][4:].rsplit("_", 1)[0]
        status = self.admin(self.names("$control")[0], "POST",
                            f"/v1/keys/{key_id}/withdraw")[0]
        if status != 200:
            raise RuntimeError(f"withdraw: {status}")
        self.marks["withdrawn " + workspace] = boot_ms()

    def do_recover(self, vm):
        """Recovers the configuration from a disk, as an operator does."""
        path = "/v1/recovery"
        plan = {}

        def is_allowed():
            status, reply = self.admin(vm, "POST", path + "?dry_run=1", "{}")
            plan.update(reply)
            return status == 200
        if not self.poll(40, is_allowed):
            raise RuntimeError(f"recovery refused: {plan}")
        print(f"recover {vm}: {plan}", file=sys.stderr)
        status, body = self.admin(vm, "POST", path, json.dumps(
            {"confirm": plan["confirm"]}))
        if status != 200:
            raise RuntimeError(f"recovery failed: {status} {body}")

    def do_rate(self, name, vm, workspace, value, *words):
        """Sets a workspace's rate through a control VM, in the background."""
        options = dict(w.split("=") for w in words)
        headers = {"X-Change-Id": options.get("id", f"{self.name}-{name}")}
        if "if" in options:
            known = options["if"]
            headers["If-Version"] = str(
                self.changes[known][1]["version"] if known in self.changes
                else known)
        body = json.dumps({"rate_per_s": int(value), "burst": int(value)})
        self.changes[name] = (0, {"reason": "no control leader"})
        try:
            vm = self.names(vm)[0]
        except RuntimeError:
            return

        def run(_):
            self.changes[name] = self.admin(
                vm, "PUT", "/v1/workspaces/" + workspace, body, headers,
                timeout=read_time_s(options.get("timeout", "12s")))
        self.start_thread(name, run)

    def do_changes(self, count, workspace, first):
        """Raises a workspace's rate by one, many times."""
        vm = self.names("$control")[0]
        for i in range(int(count)):
            status, _ = self.admin(
                vm, "PUT", "/v1/workspaces/" + workspace, json.dumps(
                    {"rate_per_s": int(first) + i, "burst": 100}))
            if status != 200:
                raise RuntimeError(f"change {i}: {status}")

    def do_watch(self, name, workspace):
        """Samples the rate that each entry VM knows."""
        def run(stop):
            while not stop.wait(0.1):
                for vm in self.entries:
                    found = self.get(
                        vm, f"/v1/explain?kind=workspace&name={workspace}")
                    for item in found.get("found", []):
                        self.seen.setdefault((vm, workspace), []).append(
                            item["rate_per_s"])
        self.start_thread(name, run)

    def known_rates(self, names, workspace):
        out = []
        for vm in names:
            found = self.get(
                vm, f"/v1/explain?kind=workspace&name={workspace}")
            out += [i["rate_per_s"] for i in found.get("found", [])] or [None]
        return out

    def run(self, lines):
        for line in lines:
            line = line.strip()
            if not line or line.startswith("#"):
                continue
            print("> " + line, flush=True)
            command, _, rest = line.partition(" ")
            json_at = rest.find("{")
            words = shlex.split(rest if json_at < 0 else rest[:json_at])
            if json_at >= 0:
                words.append(rest[json_at:])
            getattr(self, "do_" + command)(*words)

    def close(self):
        for stops in self.stops.values():
            for stop in stops:
                stop.set()
        # A thread that starts processes again must end before they are
        # stopped, or it leaves processes behind.
        for threads in self.threads.values():
            for thread in threads:
                thread.join(10)
        for process in [p for p, _ in self.loads.values()] + self.twins:
            if process.poll() is None:
                process.kill()
                process.wait()
        if os.path.exists(self.dir + "/env"):
            self.script("stop", check=False)


def main():
    path = sys.argv[1]
    if sys.argv[2:3] == ["--off"]:
        os.environ["TM_TEST_OFF"] = sys.argv[3]
    scenario = Scenario(path)
    # A test that is out of time ends its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    try:
        with open(path, encoding="utf-8") as file:
            scenario.run(file.readlines())
    except (RuntimeError, TypeError, AttributeError, KeyError) as error:
        print(f"  FAILED {error}", flush=True)
        scenario.failed += 1
    finally:
        scenario.close()
    sys.exit(scenario.failed > 0)


main()
