"""A gate is stopped while each caller has sent a further request behind the one
that runs."""
import random
import signal
import socket
import sys
import threading
import time

from platform_fleet import WAIT_S, Fleet, RawTarget, document

BUILD, WORK = sys.argv[1], sys.argv[2]
NET = f"127.{random.randrange(120, 160)}.{random.randrange(1, 250)}"
GRACE_S = 6
CALLERS = 6  # of each kind
WORK_S = 0.8
SECOND_AFTER_S = 0.1
STOP_AFTER_S = 0.4
# Receive buffer of the callers (0: the kernel's default), bytes of an answer
KINDS = {"small window": (4096, 30000), "large answer": (0, 400000)}

fleet = Fleet(BUILD, WORK, [f"{NET}.1"], [f"{NET}.20"])


def write(conn, attempt):
    size = int(attempt.split("-")[0])
    time.sleep(WORK_S)
    conn.sendall((f"HTTP/1.1 200 OK\r\nTarragonmoor-Attempt-Id: {attempt}\r\n"
                  "Tarragonmoor-Server-Signature: sig\r\n"
                  f"Content-Length: {size}\r\n\r\n").encode() + b"x" * size)


class Caller(threading.Thread):
    def __init__(self, number, buffer, size):
        super().__init__(daemon=True)
        self.number = number
        self.size = size
        self.got = b""
        self.end = "none"
        self.sock = socket.socket()
        if buffer:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        self.sock.settimeout(GRACE_S)
        self.sock.connect((fleet.gates[0], fleet.front))

    def send(self, which):
        self.sock.sendall((
            "GET /open/1 HTTP/1.1\r\nHost: a.example\r\n"
            f"Tarragonmoor-Attempt-Id: {self.size}-{self.number}-{which}\r\n"
            "Tarragonmoor-Deadline-Ms: 5000\r\n\r\n").encode())

    def run(self):
        try:
            self.send(1)
            time.sleep(SECOND_AFTER_S)
            self.send(2)
            while part := self.sock.recv(65536):
                self.got += part
            self.end = "closed"
        except OSError as error:
            self.end = type(error).__name__
        self.sock.close()

    def is_whole(self):
        head, _, body = self.got.partition(b"\r\n\r\n")
        return (head.startswith(b"HTTP/1.1 200") and len(body) == self.size and
                self.end == "closed")


def is_served():
    caller = Caller(time.monotonic_ns(), 0, 10)
    caller.send(1)
    return caller.sock.recv(65536).startswith(b"HTTP/1.1 200")


try:
    fleet.start_all(["key-one"])
    changed = document(8, ["key-one"])
    changed["Tenants"]["w1"].update(RatePerS=0, Burst=0)
    fleet.control("POST", "/tarragonmoor/config/put", changed)
    RawTarget(fleet, "t1", "s1", write)
    fleet.wait("the gate is ready", lambda: fleet.is_ready(0))
    fleet.wait("served", is_served)
    callers = {kind: [Caller(i, *KINDS[kind]) for i in range(CALLERS)]
               for kind in KINDS}
    for caller in sum(callers.values(), []):
        caller.start()
    time.sleep(STOP_AFTER_S)
    process = fleet.processes["gate0"]
    stopped_s = time.monotonic()
    process.send_signal(signal.SIGTERM)
    for kind, group in callers.items():
        for caller in group:
            caller.join(WAIT_S)
            if not caller.is_whole():
                print(kind, len(caller.got), caller.end, file=sys.stderr)
        print(f"{kind}: whole answers:", sum(x.is_whole() for x in group))
    code = process.wait(WAIT_S)
    print("the gate ends in time:",
          code == 0 and time.monotonic() - stopped_s < GRACE_S)
finally:
    fleet.kill_all()
