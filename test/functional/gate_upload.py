"""Uploads through two gates at once to targets whose memory the hub is told."""
import json
import random
import sys
import threading
import time

from platform_fleet import Fleet, RawTarget, call, document

BUILD, WORK = sys.argv[1], sys.argv[2]
NET = f"127.{random.randrange(160, 200)}.{random.randrange(1, 250)}"
UPLOAD_BYTES = 300000
REQUESTS = 12
WORK_S = 1.5
MEMORY_MB = 1  # two uploads fit

fleet = Fleet(BUILD, WORK, [f"{NET}.1"], [f"{NET}.20", f"{NET}.21"])
fleet.hub_settings = {"target_memory_mb": MEMORY_MB}
lock = threading.Lock()
held = {"t1": 0, "t2": 0}
most = {"t1": 0, "t2": 0}
runs = {}


def serve(name):
    def write(conn, attempt, body):
        with lock:
            runs[attempt] = runs.get(attempt, 0) + 1
            held[name] += len(body)
            most[name] = max(most[name], held[name])
        if len(body) > 16384:
            time.sleep(WORK_S)
        with lock:
            held[name] -= len(body)
        conn.sendall((
            f"HTTP/1.1 200 OK\r\nTarragonmoor-Attempt-Id: {attempt}\r\n"
            "Tarragonmoor-Server-Signature: sig\r\n"
            "Content-Length: 2\r\n\r\nok").encode())
    return write


# Of each connection of the early target: the bytes after the first head.
early = []


def respond_early(conn, attempt):
    """Responds at once and keeps the connection; then reads on."""
    conn.sendall((
        f"HTTP/1.1 200 OK\r\nTarragonmoor-Attempt-Id: {attempt}\r\n"
        "Tarragonmoor-Server-Signature: sig\r\nContent-Length: 2\r\n\r\n"
        "ok").encode())
    time.sleep(0.3)
    data = bytearray()
    conn.settimeout(3)
    try:
        while True:
            part = conn.recv(1 << 20)
            if not part:
                break
            data += part
    except OSError:
        pass
    with lock:
        early.append(bytes(data))


def send(gate, attempt, size, path="/x/1"):
    started = time.monotonic()
    status, body, headers = call(
        fleet.gates[gate], fleet.front, "POST", path, b"b" * size, {
            "Host": "a.example", "Tarragonmoor-Attempt-Id": attempt,
            "Tarragonmoor-Deadline-Ms": "8000", "Api-Key": "key-one"}, 12)
    return status, body, headers, time.monotonic() - started


def is_refused_well(answer):
    status, body, headers, took_s = answer
    text = json.loads(body)
    return (status == 503 and text["error"] == "uploads_full" and
            text["run"] == "no" and took_s < 1 and
            0 < float(headers["Retry-After"]) <= 10)


def send_all():
    answers = {}

    def run(i):
        answers[f"up{i}"] = send(i % 2, f"up{i}", UPLOAD_BYTES)

    threads = [threading.Thread(target=run, args=(i,))
               for i in range(REQUESTS)]
    for thread in threads:
        thread.start()
    time.sleep(0.6)
    small = send(0, "small", 1000)
    for thread in threads:
        thread.join()
    return answers, small


def main():
    new = document(7, ["key-one"], Kind="upload", MaxAttempts=1, TimeoutS=9,
                   TargetLatencyS=4)
    new["Routes"]["r3"] = {**new["Routes"]["r1"], "PathPrefix": "/early/",
                           "Service": "s2"}
    new["Services"]["s2"] = dict(new["Services"]["s1"])
    new["Limits"]["MaxBodyBytes"] = 10000000
    fleet.start_hub(0, True)
    for i in range(2):
        fleet.start_gate(i)
    fleet.control("POST", "/tarragonmoor/config/put", new)
    for name in held:
        RawTarget(fleet, name, "s1", serve(name), True)
    RawTarget(fleet, "t3", "s2", respond_early)
    for i in range(2):
        fleet.wait(f"gate {i} serves",
                   lambda: send(i, f"first{time.time()}", 100)[0] == 200)
    time.sleep(2.5)  # both targets are known, and the leader grants permits
    answers, small = send_all()
    served = [x for x, y in answers.items() if y[0] == 200]
    refused = [y for y in answers.values() if y[0] != 200]
    print("most held", most, "served", len(served), "others",
          [(x[0], x[1], round(x[3], 2)) for x in refused], file=sys.stderr)
    print("no target held more than its memory:",
          max(most.values()) <= MEMORY_MB << 20)
    print("targets were used as far as they have room:", len(served) >= 4)
    print("the others were refused at once, as not run, with a time:",
          len(refused) > 0 and all(is_refused_well(x) for x in refused))
    print("what was refused never ran, nothing ran twice:",
          all(runs.get(x, 0) == (y[0] == 200) for x, y in answers.items()))
    print("small requests go on:", small[0] == 200 and small[3] < 1)
    print("there is room again:", send(1, "later", UPLOAD_BYTES)[0] == 200)
    statuses = [send(0, f"early{i}", 8000000, "/early/1")[0] for i in range(2)]
    fleet.wait("both connections ended", lambda: len(early) >= 2, 8)
    print("statuses", statuses, [len(x) for x in early], file=sys.stderr)
    print("responses before the end of the body reach callers:",
          statuses == [200, 200])
    print("never other bytes than the body:",
          all(set(x) <= {ord("b")} for x in early))


try:
    main()
finally:
    fleet.kill_all()
