"""Fault soak: hubs, gates and targets under faults from outside, in series and
overlapping, while callers keep using open connections. Checks what callers and
targets saw. Prints one line; exits with 1 and keeps its folder on a violation.

soak.py BUILD WORK SEED [--seconds S] [--hubs N] [--gates N] [--targets N]"""
import argparse
import collections
import http.client
import json
import os
import random
import signal
import socket
import struct
import sys
import threading
import time

from platform_fleet import Fleet, Target, call, document

CALLERS = 8
RECOVERY_S = 15
DISK_SHARE = 0.25  # of faults that come with a full disk
WRITER_SHARE = 0.15  # of faults that come with announcements of another writer
RESTART_S = 0.3  # as a supervisor does
# Defaults of the gates: revoke_within_s, and the time until callers give up.
REVOKE_S = 5
CALL_TIMEOUT_S = 8
RECOVERED_SHARE = 0.9
# Of a gate, under large responses, slow readers and endless bytes.
MEMORY_MAX_MB = 200
LARGE_SHARE = 0.05
LARGE_BYTES = 3_000_000
SLOW_SHARE = 0.3  # of callers that wait for a large response
ENDLESS_BYTES = 65536
ENDLESS_INTERVAL_S = 0.01
ENDLESS_STARTS = {
    "endless_head": b"HTTP/1.1 200 OK\r\nX-Fill: ",
    "endless_body": b"HTTP/1.1 200 OK\r\n\r\n",
    "endless_noise": b"",
}


class Proxy:
    """Forwards connections to a target, and harms them."""

    def __init__(self, port):
        self.port_to = port
        self.mode = "normal"
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            sock, _ = self.listener.accept()
            try:
                other = socket.create_connection(("127.0.0.1", self.port_to))
            except OSError:
                sock.close()
                continue
            for a, b, answers in ((sock, other, False), (other, sock, True)):
                threading.Thread(target=self.pump, args=(a, b, answers),
                                 daemon=True).start()

    def pump(self, source, sink, answers):
        linger = struct.pack("ii", 1, 0)
        try:
            while data := source.recv(65536):
                mode = self.mode
                if mode == "delay":
                    time.sleep(0.3)
                if mode == "silent" or (mode == "one_way" and answers):
                    continue
                if mode in ENDLESS_STARTS and not answers:
                    # In place of a response, not within one: a changed body of
                    # the right length is for callers to find.
                    source.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    self.send_endless(source, mode)
                    break
                if mode == "reset":
                    sink.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    break
                sink.sendall(data)
        except OSError:
            pass
        # The other pump is still in a call on both.
        for sock in (source, sink):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        sink.close()


    def send_endless(self, sink, mode):
        sink.sendall(ENDLESS_STARTS[mode])
        while self.mode == mode:
            sink.sendall(b"x" * ENDLESS_BYTES)
            time.sleep(ENDLESS_INTERVAL_S)


class Caller(threading.Thread):
    """Sends requests over one connection until it ends, then opens another."""

    def __init__(self, soak, name):
        super().__init__(daemon=True)
        self.soak = soak
        self.caller_name = name
        self.rng = random.Random(f"{soak.seed} {name}")
        self.sent = []
        self.is_stopped = False

    def run(self):
        conn = None
        for number in range(10 ** 9):
            if self.is_stopped:
                return
            if conn is None:
                gate = self.rng.choice(self.soak.fleet.gates)
                conn = http.client.HTTPConnection(
                    gate, self.soak.fleet.front, timeout=CALL_TIMEOUT_S)
            if not self.send(conn, f"{self.caller_name}-{number}"):
                conn.close()
                conn = None
                time.sleep(0.05)
            time.sleep(self.rng.uniform(0, 0.04))

    def send(self, conn, name):
        is_safe = self.rng.random() < 0.3
        key = self.rng.choice(["key-one", "key-two"])
        headers = {"Host": "a.example", "Tarragonmoor-Attempt-Id": name,
                   "Tarragonmoor-Deadline-Ms": "4000"}
        entry = {"id": name, "safe": is_safe, "at": time.monotonic(),
                 "key": None if is_safe else key, "status": 0}
        is_large = self.rng.random() < LARGE_SHARE
        if is_large:
            headers["X-Body-Bytes"] = str(LARGE_BYTES)
        self.sent.append(entry)
        if not is_safe:
            headers["Api-Key"] = key
        try:
            conn.request("GET" if is_safe else "POST",
                         "/open/1" if is_safe else "/x/1", None, headers)
            response = conn.getresponse()
            body = b""
            if is_large and self.rng.random() < SLOW_SHARE:
                body = response.read(65536)
                time.sleep(self.rng.uniform(0.5, 2))
            body += response.read()
        except (OSError, http.client.HTTPException):
            return False
        entry["status"] = response.status
        entry["body"] = body[:64].decode(errors="replace")
        entry["is_whole"] = not is_large or len(body) == LARGE_BYTES
        entry["echo"] = response.headers.get("Tarragonmoor-Attempt-Id")
        return not response.will_close


class Soak:
    def __init__(self, args):
        self.seed = args.seed
        self.rng = random.Random(args.seed)
        # Faults of disks do not change what else a seed draws.
        self.disk_rng = random.Random(f"{args.seed} disks")
        self.writer_rng = random.Random(f"{args.seed} writer")
        self.args = args
        net = f"127.{50 + args.seed % 150}.{args.seed // 150 % 250}"
        self.fleet = Fleet(args.build, args.work,
                           [f"{net}.{i + 1}" for i in range(args.hubs)],
                           [f"{net}.{i + 20}" for i in range(args.gates)],
                           fills_disks=True)
        self.targets = [Target(self.fleet, f"t{i}")
                        for i in range(args.targets)]
        self.proxies = []
        for target in self.targets:
            self.proxies.append(Proxy(target.port))
            target.port = self.proxies[-1].port
        self.version = 0
        self.puts = []  # (version, keys, sent at, acknowledged at or None)
        self.due = []  # (time, function) that ends a fault
        self.down = set()
        self.was_full = set()
        self.is_stopped = False
        self.faults = []
        self.violations = []
        self.peak_mb = 0

    # Operators

    def put(self, keys):
        self.version += 1
        sent = time.monotonic()
        status, _ = self.fleet.control(
            "POST", "/tarragonmoor/config/put", document(self.version, keys))
        acked = time.monotonic() if status == 200 else None
        self.puts.append((self.version, keys, sent, acked))

    def operate(self):
        while not self.is_stopped:
            self.put(self.op_rng.choice(
                [["key-one", "key-two"], ["key-one"], ["key-one", "key-two"]]))
            time.sleep(self.op_rng.uniform(0.5, 7))

    def beat(self, target):
        while True:
            target.beat()
            time.sleep(1)

    # Faults

    def signal(self, name, number):
        process = self.fleet.processes[name]
        if process.poll() is None:
            process.send_signal(number)

    def restart(self, name):
        process = self.fleet.processes[name]
        self.signal(name, signal.SIGCONT)
        if process.poll() is None:
            process.kill()
        process.wait()
        index = int(name.lstrip("hubgate"))
        if name.startswith("hub"):
            self.fleet.start_hub(index, False)
        else:
            self.fleet.start_gate(index)
        self.down.discard(name)

    def harm_process(self, name):
        how = self.rng.choice(["freeze", "kill", "term", "hup"])
        for_s = self.rng.uniform(0.3, 3)
        if name in self.down:
            return
        self.faults.append(f"{how} {name} {for_s:.1f}")
        if how == "hup":
            # Before main() SIGHUP ends any program.
            if self.fleet.has_logged(name):
                self.signal(name, signal.SIGHUP)
        elif how == "freeze":
            self.signal(name, signal.SIGSTOP)
            self.end_later(for_s, lambda: self.signal(name, signal.SIGCONT))
        else:
            self.down.add(name)
            self.signal(name, signal.SIGCONT)
            self.signal(name, signal.SIGKILL if how == "kill"
                        else signal.SIGTERM)
            # A planned stop has as long as it takes.
            wait_s = for_s if how == "kill" else for_s + 7
            self.end_later(wait_s, lambda: self.restart(name))

    def harm_disk(self):
        name = f"hub{self.disk_rng.randrange(self.args.hubs)}"
        for_s = self.disk_rng.uniform(0.3, 4)
        self.faults.append(f"full {name} {for_s:.1f}")
        self.was_full.add(name)
        self.fleet.set_full(name, True)
        self.end_later(for_s, lambda: self.fleet.set_full(name, False))

    def supervise(self):
        """Starts hubs again that ended as their disk was full."""
        while True:
            for i in range(self.args.hubs):
                name = f"hub{i}"
                if name in self.down or name not in self.was_full:
                    continue
                if self.fleet.processes[name].poll() == 1:
                    self.fleet.start_hub(i, False)
            time.sleep(RESTART_S)

    def write_other(self):
        """Announces a service that no document names, with the address or the id
        of each target. No hub may believe it."""
        self.faults.append("another writer")
        for target in self.targets:
            is_own_id = self.writer_rng.random() < 0.5
            name = "other" if is_own_id else target.id
            try:
                call(self.writer_rng.choice(self.fleet.hubs),
                     self.fleet.control_port, "POST",
                     f"/tarragonmoor/instances/{name}/heartbeat", json.dumps({
                         "Service": "other", "Zone": "z1", "Version": "v1",
                         "Address": f"127.0.0.1:{target.port}",
                         "MaxConcurrency": 4, "State": "ready",
                         "WarmupLeftS": 0, "Sequence": 10 ** 6,
                         "born": int(time.time() * 1000)}), timeout=1)
            except (OSError, http.client.HTTPException):
                pass

    def harm_path(self):
        proxy = self.rng.choice(self.proxies)
        mode = self.rng.choice(
            ["delay", "silent", "one_way", "reset", *ENDLESS_STARTS])
        for_s = self.rng.uniform(0.3, 3)
        self.faults.append(f"{mode} target {for_s:.1f}")
        proxy.mode = mode

        def end():
            proxy.mode = "normal"
        self.end_later(for_s, end)

    def harm_target(self):
        target = self.rng.choice(self.targets)
        self.faults.append(f"break {target.id}")
        target.break_next = self.rng.randrange(1, 5)

    def end_later(self, wait_s, end):
        self.due.append((time.monotonic() + wait_s, end))

    def end_due(self, all_of_them=False):
        now = time.monotonic()
        ready = [x for x in self.due if all_of_them or x[0] <= now]
        self.due = [x for x in self.due if x not in ready]
        for _, end in ready:
            end()

    def harm(self):
        kind = self.rng.choice(["hub", "gate", "path", "path", "target"])
        if kind in ("hub", "gate"):
            count = self.args.hubs if kind == "hub" else self.args.gates
            self.harm_process(f"{kind}{self.rng.randrange(count)}")
        elif kind == "path":
            self.harm_path()
        else:
            self.harm_target()

    # Run

    def wait_until(self, what, condition, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                if condition():
                    return
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(0.1)
        self.violations.append(f"{what} not within {seconds} s")

    def all_ready(self):
        return all(self.fleet.is_ready(i) for i in range(self.args.gates))

    def start(self):
        for i in range(self.args.hubs):
            self.fleet.start_hub(i, True)
        for i in range(self.args.gates):
            self.fleet.start_gate(i)
        self.put(["key-one", "key-two"])
        for target in self.targets:
            threading.Thread(target=self.beat, args=(target,),
                             daemon=True).start()
        self.wait_until("ready at first", self.all_ready, 30)

    def run(self):
        self.start()
        self.op_rng = random.Random(f"{self.seed} operator")
        operator = threading.Thread(target=self.operate, daemon=True)
        operator.start()
        threading.Thread(target=self.supervise, daemon=True).start()
        callers = [Caller(self, f"c{i}") for i in range(CALLERS)]
        for caller in callers:
            caller.start()
        end = time.monotonic() + self.args.seconds
        while time.monotonic() < end:
            self.harm()
            if self.disk_rng.random() < DISK_SHARE:
                self.harm_disk()
            if self.writer_rng.random() < WRITER_SHARE:
                threading.Thread(target=self.write_other, daemon=True).start()
            time.sleep(self.rng.expovariate(2))
            self.end_due()
        self.end_due(all_of_them=True)
        self.is_stopped = True
        self.wait_until("ready after the faults", self.all_ready, RECOVERY_S)
        operator.join(30)
        # What clients get once everything is back.
        time.sleep(RECOVERY_S / 3)
        recovered = time.monotonic()
        time.sleep(3)
        for caller in callers:
            caller.is_stopped = True
        for caller in callers:
            caller.join(CALL_TIMEOUT_S + 1)
        sent = [entry for caller in callers for entry in caller.sent]
        self.check(sent, recovered)
        return sent

    # Checks

    def check(self, sent, recovered):
        ran = collections.Counter()
        for target in self.targets:
            for headers in target.ran:
                ran[headers["tarragonmoor-attempt-id"]] += 1
        known = {entry["id"] for entry in sent}
        for name in ran:
            if name not in known:
                self.violations.append(f"{name}: ran, but was not sent")
        for entry in sent:
            self.check_request(entry, ran[entry["id"]])
        self.check_recovery(sent, recovered)
        self.check_config()
        self.check_memory()
        for name, process in self.fleet.processes.items():
            if process.poll() is not None:
                self.violations.append(f"{name} ended: {process.returncode}")

    def check_memory(self):
        for name, process in self.fleet.processes.items():
            if not name.startswith("gate") or process.poll() is not None:
                continue
            with open(f"/proc/{process.pid}/status", encoding="ascii") as file:
                peak_mb = next(int(line.split()[1]) // 1024 for line in file
                               if line.startswith("VmHWM:"))
            self.peak_mb = max(self.peak_mb, peak_mb)
            if peak_mb > MEMORY_MAX_MB:
                self.violations.append(f"{name} took {peak_mb} MB")

    def check_request(self, entry, runs):
        name, status = entry["id"], entry["status"]
        if not entry["safe"] and runs > 1:
            self.violations.append(f"{name}: ran {runs} times")
        if not entry["safe"] and status in (429, 503) and runs > 0:
            self.violations.append(f"{name}: ran, answered {status}")
        if status == 200 and (runs == 0 or entry["echo"] != name or
                              not entry["is_whole"] or
                              not entry["body"].startswith("from t")):
            self.violations.append(f"{name}: {entry}, ran {runs}")
        if status == 404:
            self.violations.append(f"{name}: 404, the route never changed")
        if status == 401 and entry["key"] == "key-one":
            self.violations.append(f"{name}: 401, the key never changed")
        if runs > 0 and entry["key"] == "key-two" and \
                self.is_withdrawn(entry["at"]):
            self.violations.append(f"{name}: ran with a withdrawn key")

    def is_withdrawn(self, at):
        """Whether the key was taken away REVOKE_S before, and not put back."""
        for i, (_, keys, _, acked) in enumerate(self.puts):
            if "key-two" in keys or acked is None or at < acked + REVOKE_S:
                continue
            back = [put for put in self.puts[i + 1:] if "key-two" in put[1]]
            if not any(put[2] <= at + CALL_TIMEOUT_S for put in back):
                return True
        return False

    def check_recovery(self, sent, recovered):
        late = [x for x in sent if x["at"] >= recovered and
                (x["safe"] or x["key"] == "key-one")]
        served = sum(x["status"] == 200 for x in late)
        if not late or served < RECOVERED_SHARE * len(late):
            self.violations.append(
                f"{served} of {len(late)} served after the faults: " + str(
                    collections.Counter(x["status"] for x in late)))

    def check_config(self):
        answer = self.fleet.control("GET", "/tarragonmoor/config/get")[1]
        acked = max(put[0] for put in self.puts if put[3] is not None)
        held = json.loads(answer) if answer else {"Version": 0}
        version = held["Version"]
        if version < acked:
            self.violations.append(f"version {version}, {acked} acknowledged")
        for put in self.puts:
            if put[0] == version and held != document(version, put[1]):
                self.violations.append(f"version {version} has other content")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("work")
    parser.add_argument("seed", type=int)
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--hubs", type=int, default=3)
    parser.add_argument("--gates", type=int, default=4)
    parser.add_argument("--targets", type=int, default=6)
    args = parser.parse_args()
    os.makedirs(args.work, exist_ok=True)
    soak = Soak(args)
    # Processes are ended by their ids also when the soak itself is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    try:
        sent = soak.run()
    finally:
        soak.fleet.kill_all()
    served = sum(entry["status"] == 200 for entry in sent)
    sys.stderr.write(f"seed {args.seed}: {served} of {len(sent)} served, "
                     f"{len(soak.faults)} faults, {len(soak.puts)} puts, "
                     f"{soak.peak_mb} MB\n")
    for text in soak.violations[:20] + soak.faults * bool(soak.violations):
        sys.stderr.write(f"  {text}\n")
    count = len(soak.violations)
    print(f"seed {args.seed}", "ok" if count == 0 else f"{count} violations")
    sys.stdout.flush()
    os._exit(1 if count else 0)


main()
