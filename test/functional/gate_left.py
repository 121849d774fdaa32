"""Callers leave in different ways while a target works on their requests. Prints
whether the gate ends these requests soon."""
import random
import socket
import struct
import sys
import time

from platform_fleet import Fleet, RawTarget, document

BUILD, WORK = sys.argv[1], sys.argv[2]
NET = f"127.{random.randrange(120, 160)}.{random.randrange(1, 250)}"
WORK_S = 4
NOTICE_S = 1

fleet = Fleet(BUILD, WORK, [f"{NET}.1"], [f"{NET}.20"])
taken = []
ended = []  # by the gate, before the response


def write(conn, attempt):
    taken.append(attempt)
    if not attempt.startswith("first"):
        conn.settimeout(WORK_S)
        try:
            if not conn.recv(1):
                ended.append(attempt)
                return
        except TimeoutError:
            pass
    conn.sendall((f"HTTP/1.1 200 OK\r\nTarragonmoor-Attempt-Id: {attempt}\r\n"
                  "Tarragonmoor-Server-Signature: sig\r\n"
                  "Connection: close\r\nContent-Length: 2\r\n\r\nok"
                  ).encode())


def head(name):
    return (f"GET /open/1 HTTP/1.1\r\nHost: a.example\r\n"
            f"Tarragonmoor-Attempt-Id: {name}\r\n"
            "Tarragonmoor-Deadline-Ms: 8000\r\n\r\n").encode()


def connect():
    return socket.create_connection((fleet.gates[0], fleet.front), timeout=5)


def is_served(name):
    try:
        with connect() as sock:
            sock.sendall(head(name))
            return b" 200 " in sock.recv(65536)
    except OSError:
        return False


def leave(what, name, more=b"", is_reset=False):
    sock = connect()
    sock.sendall(head(name))
    fleet.wait(f"{what}: target works", lambda: name in taken)
    if more:
        sock.sendall(more)
        time.sleep(0.1)
    if is_reset:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
    sock.close()
    fleet.wait(f"{what}: request ended", lambda: name in ended, NOTICE_S)


try:
    fleet.start_all([])
    changed = document(8, [])
    changed["Tenants"]["w1"].update(RatePerS=0, Burst=0)
    fleet.control("POST", "/tarragonmoor/config/put", changed)
    RawTarget(fleet, "t1", "s1", write)
    fleet.wait("served", lambda: is_served(f"first-{time.monotonic()}"))
    leave("closed", "plain")
    leave("closed with bytes unread", "pipelined", head("next"))
    leave("reset", "reset", is_reset=True)
    leave("reset with bytes unread", "both", head("next"), True)
    time.sleep(0.5)
    print("requests behind those that were left have run:", "next" in taken)
    sock = connect()
    sock.sendall(head("stays") + head("first-next"))
    got = b""
    while got.count(b" 200 ") < 2:
        part = sock.recv(65536)
        if not part:
            break
        got += part
    print("one that stays is served both:", got.count(b" 200 ") == 2)
finally:
    fleet.kill_all()
