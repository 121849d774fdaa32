"""Runs hubs, gates and stand-in targets as processes on loopback, and prints
what callers, targets and operators see."""
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

BUILD, WORK = sys.argv[1], sys.argv[2]
HUBS = ["127.0.1.1", "127.0.1.2", "127.0.1.3"]
GATES = ["127.0.1.11", "127.0.1.12"]
WAIT_S = 20


def find_port(ips):
    """A port that is free on all addresses."""
    while True:
        port = random.randrange(20000, 32000)
        socks = []
        try:
            for ip in ips:
                sock = socket.socket()
                socks.append(sock)
                sock.bind((ip, port))
            return port
        except OSError:
            continue
        finally:
            for sock in socks:
                sock.close()


PEER = find_port(HUBS + GATES)
CONTROL = find_port(HUBS)
FRONT = find_port(GATES)
READY = find_port(GATES)
METRICS = find_port(HUBS + GATES)
processes = {}


def start(program, name, settings):
    path = f"{WORK}/{name}.json"
    with open(path, "w", encoding="utf-8") as out:
        json.dump(settings, out)
    with open(f"{WORK}/{name}.log", "ab") as log:
        processes[name] = subprocess.Popen(
            [f"{BUILD}/bin/{program}", "--settings", path], stdout=log,
            stderr=log)


def start_hub(i, first):
    start("tm-hub", f"hub{i}", {
        "node": f"hub{i}", "zone": "z1", "data_dir": f"{WORK}/data{i}",
        "ip": HUBS[i], "listen": f"{HUBS[i]}:{CONTROL}", "peer_port": PEER,
        "metrics_port": METRICS, "seeds": [f"{x}:{CONTROL}" for x in HUBS],
        "is_first_start": first, "fleet_secrets": ["0123456789abcdef"]})


def start_gate(i):
    start("tm-gate", f"gate{i}", {
        "node": f"gate{i}", "zone": "z1", "ip": GATES[i],
        "listen": f"{GATES[i]}:{FRONT}", "ready_listen": f"{GATES[i]}:{READY}",
        "peer_port": PEER, "metrics_port": METRICS,
        "seeds": [f"{x}:{CONTROL}" for x in HUBS],
        "fleet_secrets": ["0123456789abcdef"]})


def call(host, port, method, path, body=None, headers=None, timeout=10):
    conn = http.client.HTTPConnection(host, port, timeout=timeout)
    conn.request(method, path, body, headers or {})
    response = conn.getresponse()
    return response.status, response.read(), response.headers


def control(method, path, body=None):
    """Asks hubs until one answers clearly, as callers of hubs do."""
    text = json.dumps(body) if isinstance(body, dict) else body
    end = time.monotonic() + WAIT_S
    while time.monotonic() < end:
        for ip in HUBS:
            try:
                status, answer, headers = call(ip, CONTROL, method, path, text)
                if status == 307:
                    host = headers["Location"].split("/")[2].split(":")[0]
                    status, answer, _ = call(host, CONTROL, method, path, text)
                if status < 500:
                    return status, answer
            except OSError:
                pass
        time.sleep(0.1)
    return 0, b""


class Target:
    """Speaks the platform's protocol of targets, and records what it ran."""

    def __init__(self, name):
        self.id = name
        self.sequence = 0
        self.ran = []
        self.break_next = 0
        self.work_s = 0
        target = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def answer(self, status, more):
                body = b"from " + target.id.encode()
                self.send_response(status)
                for key, value in more.items():
                    self.send_header(key, value)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def do_POST(self):
                self.rfile.read(int(self.headers.get("Content-Length", 0)))
                self.do_GET()

            def do_GET(self):
                if self.headers["Tarragonmoor-Expect-Instance"] != target.id:
                    self.answer(421, {"Tarragonmoor-Not-Executed": "1"})
                    return
                target.ran.append(dict(self.headers.items()))
                if target.break_next:
                    target.break_next -= 1
                    self.close_connection = True
                    self.connection.shutdown(socket.SHUT_RDWR)
                    return
                time.sleep(target.work_s)
                self.answer(200, {
                    "Tarragonmoor-Attempt-Id":
                        self.headers["Tarragonmoor-Attempt-Id"],
                    "Tarragonmoor-Server-Signature": "sig",
                    "Tarragonmoor-Server-Load": "1,0,4"})

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever,
                         daemon=True).start()

    def beat(self, state="ready"):
        self.sequence += 1
        return control("POST", f"/tarragonmoor/instances/{self.id}/heartbeat", {
            "Service": "s1",
            "Address": f"127.0.0.1:{self.server.server_port}",
            "Zone": "z1", "Version": "v1", "MaxConcurrency": 4,
            "State": state, "WarmupLeftS": 0, "Sequence": self.sequence,
            "born": 1000})[0]


def document(version, keys, **route):
    return {"Version": version, "Routes": {
        "r1": {"Host": "a.example", "PathPrefix": "/x/", "Kind": "unsafe",
               "TimeoutS": 5, "TargetLatencyS": 1, "Priority": 0,
               "Service": "s1", "MaxAttempts": 2, "Anonymous": False, **route},
        "r2": {"Host": "a.example", "PathPrefix": "/open/", "Kind": "safe",
               "TimeoutS": 5, "TargetLatencyS": 1, "Priority": 0,
               "Service": "s1", "MaxAttempts": 2, "Anonymous": True}},
        "Services": {"s1": {"HealthPath": "/health", "MaxConns": 100}},
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 100000,
                   "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
        "Tenants": {"w1": {"ApiKeys": keys, "RatePerS": 100, "Burst": 100}}}


count = 0


def request(gate, path="/x/1", key="key-one", method="POST", more=None):
    global count
    count += 1
    headers = {"Host": "a.example", "Tarragonmoor-Attempt-Id": f"req{count}",
               "Tarragonmoor-Deadline-Ms": "4000", **(more or {})}
    if key:
        headers["Api-Key"] = key
    return call(GATES[gate], FRONT, method, path, None, headers)


def wait(what, condition):
    end = time.monotonic() + WAIT_S
    while time.monotonic() < end:
        try:
            if condition():
                print(what)
                return
        except OSError:
            pass
        time.sleep(0.05)
    print("FAILED:", what)


def is_ready(gate):
    return call(GATES[gate], READY, "GET", "/tarragonmoor/ready")[0] == 200


def log_has(name, *texts):
    with open(f"{WORK}/{name}.log", encoding="utf-8") as log:
        return any(all(text in line for text in texts) for line in log)


def main():
    for i in range(3):
        start_hub(i, True)
    for i in range(2):
        start_gate(i)
    print("put", control("POST", "/tarragonmoor/config/put",
                         document(7, ["key-one", "key-two"]))[0])
    print("put again", control("POST", "/tarragonmoor/config/put",
                               document(7, ["key-one", "key-two"]))[0])
    print("put invalid", control("POST", "/tarragonmoor/config/put",
                                 document(8, ["key-one"], Service="s9"))[0])
    print("put cut short", control("POST", "/tarragonmoor/config/put",
                                   json.dumps(document(9, []))[:80])[0])
    targets = [Target("t1"), Target("t2")]
    print("announced", [t.beat() for t in targets])
    print("junk", control("POST", "/tarragonmoor/instances/t3/heartbeat",
                          {"Service": 7})[0])
    for gate in range(2):
        wait(f"gate {gate} is ready", lambda: is_ready(gate))
        wait(f"gate {gate} serves", lambda: request(gate)[0] == 200)

    targets[0].ran.clear()
    targets[1].ran.clear()
    status, body, headers = request(0, more={
        "Tarragonmoor-Tenant-Id": "forged", "X-Other": "kept"})
    seen = (targets[0].ran + targets[1].ran)[0]
    print("answer", status, headers["Tarragonmoor-Server-Signature"],
          body.decode()[:6])
    print("target saw", seen["tarragonmoor-tenant-id"], seen["x-other"],
          "api-key" in seen, int(seen["tarragonmoor-deadline-ms"]) <= 4000)
    print("unknown key", request(0, key="key-xxx")[0])
    print("no key", request(0, key=None)[0])
    print("unknown path", request(0, path="/y/1")[0])
    print("open route", request(0, "/open/1", None, "GET")[0])

    before = len(targets[0].ran) + len(targets[1].ran)
    hidden = (b"POST /x/hidden HTTP/1.1\r\nHost: a.example\r\n"
              b"Api-Key: key-one\r\nTarragonmoor-Attempt-Id: hidden\r\n"
              b"Content-Length: 0\r\n\r\n")
    with socket.create_connection((GATES[0], FRONT), 10) as sock:
        sock.sendall(b"POST /x/1 HTTP/1.1\r\nHost: a.example\r\n"
                     b"Api-Key: key-one\r\nTarragonmoor-Attempt-Id: front\r\n"
                     b"Transfer-Encoding: chunked\r\n\r\n0x60\r\n\r\n" + hidden)
        text = b""
        sock.settimeout(3)
        try:
            while part := sock.recv(65536):
                text += part
        except socket.timeout:
            text += b"(open)"
    print("request hidden in a chunk size", text.count(b"HTTP/1.1 "),
          text[9:12].decode(), len(targets[0].ran) + len(targets[1].ran) - before)

    print("key withdrawn", control("POST", "/tarragonmoor/config/put",
                                   document(12, ["key-two"]))[0])
    wait("it ends at both gates",
         lambda: {request(g)[0] for g in (0, 1)} == {401})
    print("the other key", request(1, key="key-two")[0])
    print("older version", control("POST", "/tarragonmoor/config/put",
                                   document(10, ["key-one"]))[0])
    read = json.loads(control("GET", "/tarragonmoor/config/get")[1])
    print("read back", read == document(12, ["key-two"]))

    print("leaving", targets[1].beat("draining"))
    time.sleep(0.5)
    targets[1].ran.clear()
    print("served by", {request(0, key="key-two")[1].decode()
                        for _ in range(20)}, len(targets[1].ran))
    targets[1].sequence = 0
    targets[1].beat("ready")
    time.sleep(0.3)
    request(0, key="key-two")
    print("still leaving", len(targets[1].ran) == 0)
    targets[1].sequence = 10
    print("back", targets[1].beat("ready"))
    wait("it gets requests", lambda: request(0, key="key-two")[0] == 200 and
         len(targets[1].ran) > 0)

    targets[1].id = "t2-new"
    statuses = [request(0, key="key-two")[0] for _ in range(6)]
    print("another incarnation answers there", set(statuses))

    targets[0].break_next = 1
    targets[1].id = "t2"
    targets[1].sequence = 20
    targets[1].beat("ready")
    time.sleep(4.2)
    seen = []
    while 502 not in seen and len(seen) < 60:
        seen.append(request(0, key="key-two")[0])
    name = f"req{count}"
    seen += [request(0, key="key-two")[0] for _ in range(8)]
    print("a broken target costs", seen.count(502))
    wait("the log tells why",
         lambda: log_has("gate0", '"event":962', name, '"broken"') and
         log_has("gate0", '"event":960', name, "target_failed"))
    wait("the leader ejected it",
         lambda: any(log_has(f"hub{i}", '"event":910', '"t1"', "ejected",
                             "connection broken") for i in range(3)))
    text = call(GATES[0], METRICS, "GET", "/metrics")[1].decode()
    print("metrics", 'tm_gate_evidence_total{kind="broken"} 1' in text,
          "tm_gate_workspace_duration_us" in text)

    for i in range(3):
        processes[f"hub{i}"].kill()
        processes[f"hub{i}"].wait()
    print("without hubs", request(0, key="key-two")[0])
    for i in range(3):
        start_hub(i, False)
    read = json.loads(control("GET", "/tarragonmoor/config/get")[1])
    print("after all hubs were killed", read == document(12, ["key-two"]))
    wait("gates are served again", lambda: is_ready(0) and is_ready(1))

    for target in targets:
        target.work_s = 1.5
        target.sequence += 1
        target.beat()
    answers = []
    thread = threading.Thread(
        target=lambda: answers.append(request(1, key="key-two")[0]))
    thread.start()
    time.sleep(0.3)
    processes["gate1"].send_signal(signal.SIGTERM)
    time.sleep(0.3)
    print("stopping gate is ready", is_ready(1))
    thread.join()
    print("request over the stop", answers, "exit",
          processes["gate1"].wait(timeout=10))


try:
    main()
finally:
    for process in processes.values():
        if process.poll() is None:
            process.kill()
    sys.stdout.flush()
    os._exit(0)
