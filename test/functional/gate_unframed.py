"""A target answers without a length and ends its connection in order. Callers
must be able to tell a part of such a response from the whole."""
import random
import socket
import sys
import time

from platform_fleet import Fleet, RawTarget, document

BUILD, WORK = sys.argv[1], sys.argv[2]
NET = f"127.{random.randrange(120, 160)}.{random.randrange(1, 250)}"
BODY_BYTES = 8_000_000
CALLERS = 4

fleet = Fleet(BUILD, WORK, [f"{NET}.1"], [f"{NET}.20"])


def write(conn, attempt):
    conn.sendall((f"HTTP/1.1 200 OK\r\nTarragonmoor-Attempt-Id: {attempt}\r\n"
                  "Tarragonmoor-Server-Signature: sig\r\n\r\n").encode())
    conn.sendall(b"x" * BODY_BYTES)


def send(name):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    sock.settimeout(10)
    sock.connect((fleet.gates[0], fleet.front))
    sock.sendall((f"GET /open/1 HTTP/1.1\r\nHost: a.example\r\n"
                  f"Tarragonmoor-Attempt-Id: {name}\r\n\r\n").encode())
    return sock


def read(sock, got):
    """@return status, whether the caller takes the response for whole, and the
    length of its body; the connection ends after it"""
    was_reset = False
    try:
        while b"\r\n\r\n" not in got or len(got) < BODY_BYTES + 10000:
            part = sock.recv(1 << 20)
            if not part:
                break
            got += part
            text, mark, body = bytes(got).partition(b"\r\n\r\n")
            if mark and len(body) == length_of(text):
                break
    except OSError:
        was_reset = True
    text, _, body = bytes(got).partition(b"\r\n\r\n")
    length = length_of(text)
    looks_whole = len(body) == length or (length is None and not was_reset)
    return (int(text.split()[1]) if text else 0), looks_whole, len(body)


def length_of(text):
    for line in text.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.split(b":")[1])
    return None


try:
    fleet.start_all(["key-one"])
    fleet.control("POST", "/tarragonmoor/config/put",
                  document(8, ["key-one"]))
    RawTarget(fleet, "t1", "s1", write)
    fleet.wait("the gate is ready", lambda: fleet.is_ready(0))
    fleet.wait("served", lambda: read(
        send(f"first-{time.monotonic()}"), bytearray())[0] == 200)
    print("a whole one looks whole:",
          read(send("whole"), bytearray()) == (200, True, BODY_BYTES))
    socks = [send(f"cut-{i}") for i in range(CALLERS)]
    begun = [bytearray(sock.recv(65536)) for sock in socks]
    time.sleep(0.5)
    fleet.processes["gate0"].kill()
    results = [read(sock, got) for sock, got in zip(socks, begun)]
    print([x for x in results], file=sys.stderr)
    print("responses were cut:", all(x[2] < BODY_BYTES for x in results))
    print("and do not look whole:", not any(x[1] for x in results))
finally:
    fleet.kill_all()
