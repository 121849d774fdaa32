"""LOST: a machine that is stopped drops the requests that it holds."""
import os
import signal
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from fleet import BOUNDS, CannotRun, Fleet, Record, Server, config, head

# TimeoutS of the route and the client's deadline, as those of rake-booking.
TIMEOUT_S = 6
DEADLINE_MS = 12000
# After the SIGTERM.
SEND_AT_S = (1.0, 1.7, 2.0, 2.3)


class Client:
    """Keeps its connection."""

    def __init__(self, fleet, number):
        self.record = fleet.record
        self.number = number
        self.socket = socket.create_connection(
            (fleet.gates[0], fleet.front), timeout=20)
        self.outcome = None

    def request(self, attempt, path):
        """@return status; 0 if the connection ended without an answer"""
        self.socket.sendall(head("POST", path, attempt, 4, DEADLINE_MS) +
                            b"body")
        self.record.write(f"{attempt} sent")
        got = b""
        while b"\r\n\r\n" not in got:
            part = self.socket.recv(65536)
            if not part:
                return 0
            got += part
        text, _, body = got.partition(b"\r\n\r\n")
        for line in text.decode("latin-1").split("\r\n")[1:]:
            name, _, value = line.partition(":")
            if name.lower() == "content-length":
                while len(body) < int(value):
                    part = self.socket.recv(65536)
                    if not part:
                        return 0
                    body += part
        return int(text.split()[1])

    def play(self, attempt, path, at):
        time.sleep(max(0, at - time.monotonic()))
        start = time.monotonic()
        try:
            status = self.request(attempt, path)
        except OSError as error:
            self.record.write(f"{attempt} {error!r}")
            status = 0
        took = time.monotonic() - start
        self.record.write(
            f"{attempt} " + (f"answered {status}" if status else
                             "ended without an answer") +
            f" {took:.2f} s after it was sent")
        self.outcome = (status, took)


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(HERE)
    fleet = Fleet(record, hubs=3, gates=2)
    try:
        document = config(7, timeout_s=TIMEOUT_S)
        # A route of a service whose first server has not started yet.
        document["Routes"]["r2"] = dict(
            document["Routes"]["r1"], PathPrefix="/new/", Service="s2")
        document["Services"]["s2"] = document["Services"]["s1"]
        fleet.start_all(document)
        servers = [Server(fleet, f"i-{i}") for i in range(2)]
        clients = [Client(fleet, i) for i in range(len(SEND_AT_S))]
        fleet.wait_for("served", lambda: clients[0].request(
            f"first-{time.monotonic()}", "/x/1") == 200)
        for client in clients[1:]:
            if client.request(f"small-{client.number}", "/x/1") != 200:
                raise CannotRun("a request was not served")
        # No disruption for ConnectivityWindowS before.
        time.sleep(BOUNDS["ConnectivityWindowS"] + 1)
        at = time.monotonic() + 0.2
        threads = [threading.Thread(target=client.play, args=(
            f"new-{client.number}", "/new/1", at + SEND_AT_S[i]))
            for i, client in enumerate(clients)]
        for thread in threads:
            thread.start()
        time.sleep(max(0, at - time.monotonic()))
        if trouble:
            fleet.signal(fleet.gates[0], signal.SIGTERM)
            while not fleet.has_ended(fleet.gates[0]) and \
                    time.monotonic() - at < BOUNDS["GraceS"]:
                time.sleep(0.01)
            record.write(f"the gate has ended {time.monotonic() - at:.2f} s "
                         "after SIGTERM")
        for thread in threads:
            thread.join()
        lost = [client.number for client in clients
                if client.outcome[0] == 0 and
                BOUNDS["LossSlackS"] < client.outcome[1] < TIMEOUT_S]
        answered = [client.number for client in clients
                    if client.outcome[0] != 0]
        record.write(f"lost: {lost}; answered: {answered}")
        if not trouble and len(answered) < len(clients):
            raise CannotRun("requests had no answer without the disruption")
        return 1 if lost else 0
    finally:
        fleet.stop()


try:
    STATUS = main()
except CannotRun as problem:
    print("cannot run:", problem)
    STATUS = 2
print({0: "held", 1: "broken", 2: "not run"}[STATUS])
sys.stdout.flush()
os._exit(STATUS)
