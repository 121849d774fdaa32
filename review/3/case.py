"""MIXED: an answer without a length that is reset on the way is passed on as a
whole one."""
import os
import random
import socket
import struct
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from fleet import CannotRun, Fleet, Record, Reply, Server, config, head

SERVERS = 3
CLIENTS = 12
# One server of three spoils this share of its answers.
SPOILED_SHARE = 0.05
PLAY_S = 60
WORK_S = 0.02
BODY_BYTES = 3000


class Broken(Server):
    """Answers without a length; some are reset before they are whole."""

    def __init__(self, fleet, name, trouble):
        self.random = random.Random(7)
        self.trouble = trouble
        self.reset = set()
        self.answered = 0
        super().__init__(fleet, name)

    def send_reply(self, conn, attempt, reply, text):
        self.answered += 1
        if not self.trouble or self.random.random() >= SPOILED_SHARE:
            conn.sendall(text)
            return
        self.reset.add(attempt)
        self.fleet.record.write(f"{self.id} resets {attempt} after half of "
                                "its body")
        # What a reset is: the connection ends with RST, not with FIN.
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
        conn.sendall(text[:len(text) - BODY_BYTES // 2])


def request(fleet, number, attempt):
    """@return status, headers, body, whether the connection was reset"""
    gate = fleet.gates[number % len(fleet.gates)]
    conn = socket.create_connection((gate, fleet.front), timeout=10)
    try:
        conn.sendall(head("POST", "/x/1", attempt, 4) + b"body")
        got = b""
        was_reset = False
        while True:
            try:
                part = conn.recv(65536)
            except ConnectionError:
                was_reset = True
                break
            if not part:
                break
            got += part
            text, mark, body = got.partition(b"\r\n\r\n")
            if mark and b"content-length" in text.lower():
                for line in text.decode("latin-1").split("\r\n"):
                    if line.lower().startswith("content-length:"):
                        if len(body) >= int(line.split(":")[1]):
                            return parse(text), body, was_reset, True
        text, _, body = got.partition(b"\r\n\r\n")
        status, headers = parse(text)
        has_frame = "content-length" in headers or \
            "transfer-encoding" in headers
        return (status, headers), body, was_reset, \
            not has_frame and not was_reset
    finally:
        conn.close()


def parse(text):
    lines = text.decode("latin-1").split("\r\n")
    headers = {x.split(":", 1)[0].lower(): x.split(":", 1)[1].strip()
               for x in lines[1:]}
    return int(lines[0].split()[1]) if len(lines[0].split()) > 1 else 0, \
        headers


def body_of(attempt):
    return (attempt.encode() * BODY_BYTES)[:BODY_BYTES]


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(HERE)
    fleet = Fleet(record, hubs=3, gates=2)
    wrong = []
    counts = {}
    lock = threading.Lock()
    stop = threading.Event()

    def play(number):
        count = 0
        while not stop.is_set():
            count += 1
            attempt = f"c{number}-{count}"
            try:
                (status, headers), body, was_reset, looks_whole = request(
                    fleet, number, attempt)
            except (OSError, ValueError, IndexError):
                continue
            with lock:
                counts[status] = counts.get(status, 0) + 1
            if status == 200 and looks_whole and \
                    "tarragonmoor-server-signature" in headers and \
                    body != body_of(attempt):
                wrong.append(attempt)
                record.write(f"{attempt} got 200 with the signature and "
                             f"{len(body)} of {BODY_BYTES} bytes, and a "
                             "connection that was closed in order")
            time.sleep(0.05)

    try:
        fleet.start_all(config(7))
        servers = [Broken(fleet, "i-0", trouble)] + [
            Server(fleet, f"i-{i}") for i in range(1, SERVERS)]
        for server in servers:
            server.reply = lambda request: Reply(
                body=body_of(request["id"]), work_s=WORK_S)
        servers[0].reply = lambda request: Reply(
            body=body_of(request["id"]), work_s=WORK_S, has_length=False)
        time.sleep(2)
        threads = [threading.Thread(target=play, args=(i,))
                   for i in range(CLIENTS)]
        for thread in threads:
            thread.start()
        time.sleep(PLAY_S)
        stop.set()
        for thread in threads:
            thread.join()
        record.write(f"answers: {counts}; of {servers[0].answered} answers of "
                     f"{servers[0].id} {len(servers[0].reset)} were reset; "
                     f"looked whole: {len(wrong)}")
        if counts.get(200, 0) < 100:
            raise CannotRun("too few requests were served")
        return 1 if wrong else 0
    finally:
        stop.set()
        fleet.stop()


try:
    STATUS = main()
except CannotRun as problem:
    print("cannot run:", problem)
    STATUS = 2
print({0: "held", 1: "broken", 2: "not run"}[STATUS])
sys.stdout.flush()
os._exit(STATUS)
