"""Runs hubs, gates and stand-in targets as processes on loopback, and prints
what callers, targets and operators see."""
import json
import os
import signal
import socket
import sys
import threading
import time

from platform_fleet import WAIT_S, Fleet, Target, call, document

BUILD, WORK = sys.argv[1], sys.argv[2]
HUBS = ["127.0.1.1", "127.0.1.2", "127.0.1.3"]
GATES = ["127.0.1.11", "127.0.1.12"]
fleet = Fleet(BUILD, WORK, HUBS, GATES)
control = fleet.control
log_has = fleet.log_has
is_ready = fleet.is_ready
processes = fleet.processes

count = 0


def request(gate, path="/x/1", key="key-one", method="POST", more=None):
    global count
    count += 1
    headers = {"Host": "a.example", "Tarragonmoor-Attempt-Id": f"req{count}",
               "Tarragonmoor-Deadline-Ms": "4000", **(more or {})}
    if key:
        headers["Api-Key"] = key
    return call(GATES[gate], fleet.front, method, path, None, headers)


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


def main():
    for i in range(3):
        fleet.start_hub(i, True)
    for i in range(2):
        fleet.start_gate(i)
    print("put", control("POST", "/tarragonmoor/config/put",
                         document(7, ["key-one", "key-two"]))[0])
    print("put again", control("POST", "/tarragonmoor/config/put",
                               document(7, ["key-one", "key-two"]))[0])
    print("put invalid", control("POST", "/tarragonmoor/config/put",
                                 document(8, ["key-one"], Service="s9"))[0])
    print("put cut short", control("POST", "/tarragonmoor/config/put",
                                   json.dumps(document(9, []))[:80])[0])
    targets = [Target(fleet, "t1"), Target(fleet, "t2")]
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
    with socket.create_connection((GATES[0], fleet.front), 10) as sock:
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
    text = call(GATES[0], fleet.metrics, "GET", "/metrics")[1].decode()
    print("metrics", 'tm_gate_evidence_total{kind="broken"} 1' in text,
          "tm_gate_workspace_duration_us" in text)

    for i in range(3):
        processes[f"hub{i}"].kill()
        processes[f"hub{i}"].wait()
    print("without hubs", request(0, key="key-two")[0])
    for i in range(3):
        fleet.start_hub(i, False)
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
    fleet.kill_all()
    sys.stdout.flush()
    os._exit(0)
