"""Targets whose responses have no end, and callers that do not read theirs,
beside ordinary requests of another service. Prints how far the memory of the gate
stayed within that of a VM."""
import random
import socket
import sys
import threading
import time

from platform_fleet import Fleet, RawTarget, TargetProcess, call, document

BUILD, WORK = sys.argv[1], sys.argv[2]
NET = f"127.{random.randrange(120, 160)}.{random.randrange(1, 250)}"
MEMORY_MAX_MB = 200
ENDLESS_COUNTS = (40, 150)
SLOW_READERS = 60
LARGE_BYTES = 7500000
ENDLESS_BYTES_PER_S = 2000000
SERVED_MIN = 0.99

fleet = Fleet(BUILD, WORK, [f"{NET}.1"], [f"{NET}.20"])


def head(attempt, more=""):
    return (f"HTTP/1.1 200 OK\r\nTarragonmoor-Attempt-Id: {attempt}\r\n"
            f"Tarragonmoor-Server-Signature: sig\r\n{more}\r\n").encode()


def write_endless(conn, attempt):
    conn.sendall(head(attempt))
    block = b"x" * 65536
    while True:
        conn.sendall(block)
        time.sleep(len(block) / ENDLESS_BYTES_PER_S)


def write_large(conn, attempt):
    conn.sendall(head(attempt, f"Content-Length: {LARGE_BYTES}\r\n"))
    conn.sendall(b"x" * LARGE_BYTES)


def open_request(path, attempt):
    """A request that may be repeated; the caller reads when it likes."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    sock.settimeout(30)
    sock.connect((fleet.gates[0], fleet.front))
    sock.sendall((f"GET {path} HTTP/1.1\r\nHost: a.example\r\n"
                  f"Tarragonmoor-Attempt-Id: {attempt}\r\n"
                  "Tarragonmoor-Deadline-Ms: 10000\r\n\r\n").encode())
    return sock


def read_all(sock):
    """@return status and length of the body"""
    text = b""
    body_len = 0
    try:
        while b"\r\n\r\n" not in text:
            part = sock.recv(65536)
            if not part:
                return 0, 0
            text += part
        text, _, body = text.partition(b"\r\n\r\n")
        body_len = len(body)
        while body_len < length_of(text):
            part = sock.recv(1 << 20)
            if not part:
                break
            body_len += len(part)
    except OSError:
        pass
    return (int(text.split()[1]) if text else 0), body_len


def length_of(text):
    for line in text.decode("latin-1").split("\r\n"):
        if line.lower().startswith("content-length:"):
            return int(line.split(":")[1])
    return sys.maxsize


def peak_mb():
    pid = fleet.processes["gate0"].pid
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
    return 0


class Ordinary(threading.Thread):
    """Requests of another service, one after another."""

    def __init__(self):
        super().__init__(daemon=True)
        self.stop = False
        self.statuses = []

    def run(self):
        while not self.stop:
            try:
                status = call(
                    fleet.gates[0], fleet.front, "POST", "/x/1", b"body",
                    {"Host": "a.example", "Tarragonmoor-Attempt-Id":
                     f"o-{len(self.statuses)}", "Api-Key": "key-one",
                     "Tarragonmoor-Deadline-Ms": "3000"})[0]
            except OSError:
                status = 0
            self.statuses.append(status)
            time.sleep(0.03)


def play(what, run):
    ordinary = Ordinary()
    ordinary.start()
    run()
    ordinary.stop = True
    ordinary.join()
    served = ordinary.statuses.count(200) / len(ordinary.statuses)
    print(what, round(peak_mb()), "MB", served, len(ordinary.statuses),
          file=sys.stderr)
    print(f"{what}: memory is bounded:", peak_mb() < MEMORY_MAX_MB)
    print(f"{what}: ordinary requests are served:", served >= SERVED_MIN)


def endless(count):
    socks = [open_request("/endless/1", f"e-{count}-{i}")
             for i in range(count)]
    statuses = [read_all(sock)[0] for sock in socks]
    print("endless responses are refused:",
          all(x in (502, 503, 504) for x in statuses))


def slow_readers():
    socks = [open_request("/large/1", f"l-{i}") for i in range(SLOW_READERS)]
    time.sleep(4)
    results = [None] * SLOW_READERS

    def read(i):
        results[i] = read_all(socks[i])
    threads = [threading.Thread(target=read, args=(i,))
               for i in range(SLOW_READERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    whole = sum(1 for x in results if x == (200, LARGE_BYTES))
    print("slow readers:", whole, "whole", file=sys.stderr)
    print("slow readers get all or a failure:", all(
        x == (200, LARGE_BYTES) or x[0] in (502, 503, 504) for x in results))
    print("most get all:", whole >= 0.9 * SLOW_READERS)


try:
    fleet.start_all(["key-one"])
    changed = document(8, ["key-one"])
    for name in ("endless", "large"):
        changed["Routes"][name] = dict(
            changed["Routes"]["r2"], PathPrefix=f"/{name}/", Service=name,
            TimeoutS=10, MaxAttempts=1)
        changed["Services"][name] = changed["Services"]["s1"]
    changed["Tenants"]["w1"].update(RatePerS=0, Burst=0)
    fleet.control("POST", "/tarragonmoor/config/put", changed)
    TargetProcess(fleet, "t1")
    for i in range(3):
        RawTarget(fleet, f"endless-{i}", "endless", write_endless)
        RawTarget(fleet, f"large-{i}", "large", write_large)
    fleet.wait("the gate is ready", lambda: fleet.is_ready(0))
    for path in ("/x/1", "/large/1"):
        fleet.wait(f"{path} is served", lambda path=path: call(
            fleet.gates[0], fleet.front, "POST" if path == "/x/1" else "GET",
            path, None, {"Host": "a.example", "Api-Key": "key-one",
                         "Tarragonmoor-Attempt-Id":
                         f"first-{time.monotonic()}"})[0] == 200)
    time.sleep(1)
    for number in ENDLESS_COUNTS:
        play(f"{number} responses without end", lambda n=number: endless(n))
    play("slow readers", slow_readers)
finally:
    fleet.kill_all()
