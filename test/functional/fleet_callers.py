"""Callers of a fleet: single requests, kept connections and tm-load."""
import http.client
import json
import re
import subprocess
import threading
import time


def boot_ms():
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000000


def read_time_s(text):
    number, unit = re.fullmatch(r"([0-9.]+)(ms|s)", text).groups()
    return float(number) / (1000 if unit == "ms" else 1)


class Answer:
    """What a caller got for one request; run is yes, no or unknown."""

    def __init__(self, request_id, vm, workspace):
        self.id, self.vm, self.workspace = request_id, vm, workspace
        self.status, self.run, self.error = 0, "unknown", ""
        self.sent_ms = self.end_ms = 0
        self.right = self.closes = False


def ask(address, answer, method, path, headers, body=b"", timeout=20,
        conn=None):
    """Sends one request and fills in the answer; returns the connection."""
    sent = False
    try:
        answer.sent_ms = boot_ms()
        if conn is None:
            conn = http.client.HTTPConnection(address, timeout=timeout)
            conn.connect()
        sent = True
        conn.request(method, path, body, {
            **headers, "X-Request-Id": answer.id})
        reply = conn.getresponse()
        data = reply.read()
        answer.status = reply.status
        answer.run = reply.headers.get("X-Tm-Run", "yes")
        answer.closes = (reply.headers.get("Connection", "") == "close"
                         or reply.will_close)
        if answer.run == "yes" and reply.status == 200:
            echo = json.loads(data)
            answer.right = (echo["request_id"] == answer.id
                            and echo["path"] == path)
    except (OSError, http.client.HTTPException, ValueError, KeyError) as error:
        answer.error = type(error).__name__
        answer.run = "unknown" if sent else "no"
        answer.closes = True
    answer.end_ms = boot_ms()
    if answer.closes and conn is not None:
        conn.close()
        conn = None
    return conn


class Callers:
    """Commands of a scenario that send requests."""

    def start_thread(self, name, run):
        stop = threading.Event()
        thread = threading.Thread(target=run, args=(stop,), daemon=True)
        self.stops.setdefault(name, []).append(stop)
        self.threads.setdefault(name, []).append(thread)
        thread.start()

    def do_wait(self, *names):
        for name in names:
            for thread in self.threads.get(name, []):
                thread.join(60)
            if name in self.loads:
                self.loads[name][0].wait(120)

    def do_stop(self, *names):
        for name in names:
            for stop in self.stops.get(name, []):
                stop.set()
        self.do_wait(*names)

    def headers_of(self, workspace, options):
        headers = {"Authorization": "Bearer " + self.keys[workspace]}
        if "service_ms" in options:
            headers["X-Test-Service-Ms"] = options["service_ms"]
        if "header" in options:
            name, value = options["header"].split(":", 1)
            headers[name] = value.strip().replace(
                "$key", self.keys[workspace])
        return headers

    def do_send(self, name, via, vms, as_, workspace, *words):
        """Sends n requests, each through all VMs named at the same time."""
        assert (via, as_) == ("via", "as")
        options = dict(w.split("=", 1) for w in words)
        headers = self.headers_of(workspace, options)
        ids = options.get("ids", name)
        for i in range(int(options.get("n", 1))):
            for vm in self.names(vms):
                answer = Answer(f"{ids}-{i}", vm, workspace)
                self.groups.setdefault(name, []).append(answer)
                self.start_thread(name, lambda _, a=answer: ask(
                    self.info[a.vm]["listen"], a,
                    options.get("method", "POST"),
                    options.get("path", "/s1/send"), headers,
                    options.get("body", "").encode(),
                    read_time_s(options.get("timeout", "20s"))))
            time.sleep(read_time_s(options.get("gap", "0ms")))

    def do_keep(self, name, via, vms, as_, workspace, *words):
        """Callers that keep their connections and send at an interval."""
        assert (via, as_) == ("via", "as")
        options = dict(w.split("=", 1) for w in words)
        headers = self.headers_of(workspace, options)
        vms = self.names(vms)
        every = read_time_s(options.get("every", "50ms"))
        answers = self.groups.setdefault(name, [])
        for i in range(int(options.get("callers", 1))):
            def run(stop, i=i):
                vm, conn, count = vms[i % len(vms)], None, 0
                while not stop.is_set():
                    if conn is None and len(vms) > 1:
                        vm = self.pick_ready(vms, i)
                    count += 1
                    answer = Answer(f"{name}-{i}-{count}", vm, workspace)
                    conn = ask(self.info[vm]["listen"], answer, "GET",
                               options.get("path", "/s1/keep"), headers,
                               conn=conn)
                    answers.append(answer)
                    stop.wait(every)
            self.start_thread(name, run)

    def pick_ready(self, vms, start):
        """What a load balancer does: a VM whose readiness check passes."""
        for i in range(len(vms)):
            vm = vms[(start + i) % len(vms)]
            if self.get(vm, "/readyz").get("state") == "ready":
                return vm
        return vms[start % len(vms)]

    def do_load(self, name, via, vms, as_, workspaces, *words):
        """tm-load in the background; rate is per workspace."""
        assert (via, as_) == ("via", "as")
        options = dict(w.split("=", 1) for w in words)
        path = f"{self.dir}/load.{name}"
        settings = {
            "entries": [self.info[v]["listen"] for v in self.names(vms)],
            "duration_ms": int(options["ms"]), "timeout_ms": 12000,
            "drain_ms": 12000, "seed": 1, "record": path + ".answers",
            "report": path + ".report",
            "workspaces": [{
                "name": w, "key": self.keys[w],
                "rate_per_s": float(options["rate"]),
                "method": options.get("method", "GET"),
                "body_bytes": int(options.get("body", 0)),
                "paths": [{"path": options.get("path", "/s1/load"),
                           "weight": 1}],
                "headers": [f"X-Test-Service-Ms: {options['service_ms']}"]
                           if "service_ms" in options else []}
                for w in workspaces.split(",")]}
        with open(path + ".json", "w", encoding="utf-8") as file:
            json.dump(settings, file)
        with open(path + ".log", "w", encoding="utf-8") as log:
            self.loads[name] = (subprocess.Popen(
                [self.build + "/bin/tm-load", "--settings", path + ".json"],
                stdout=log, stderr=log), path)

    def load_answers(self, name):
        out = []
        with open(self.loads[name][1] + ".answers", encoding="utf-8") as file:
            for line in file:
                record = json.loads(line)
                answer = Answer(record["request_id"], None,
                                record["workspace"])
                answer.status, answer.run = record["status"], record["run"]
                answer.right = not record["mismatched"]
                answer.error = record.get("error") or ""
                answer.sent_ms = record["sent_ms"]
                out.append(answer)
        return out

    def answers(self, names=None):
        out = []
        for name in names or [*self.groups, *self.loads]:
            if name in self.loads:
                out += self.load_answers(name)
            out += [a for a in self.groups.get(name, [])
                    if isinstance(a, Answer)]
        return out
