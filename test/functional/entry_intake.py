"""Large bodies at once at tm-entry, over TLS, beside ordinary requests.

Usage: entry_intake.py HOST:PORT CA KEY PID
Callers that are refused return when they were told to."""
import http.client
import json
import ssl
import sys
import threading
import time

HOST, PORT = sys.argv[1].split(":")
CONTEXT = ssl.create_default_context(cafile=sys.argv[2])
KEY = sys.argv[3]
PID = sys.argv[4]
CALLERS = 200
BODY = b"x" * 1_000_000
MEMORY_MAX_MB = 200
SENDINGS_MAX = 2  # of each caller, on average
ORDINARY = 10
RETURNS_S = 40


def read_memory_mb():
    with open(f"/proc/{PID}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
    raise ValueError("no VmHWM")


def send(body):
    conn = http.client.HTTPSConnection(HOST, int(PORT), timeout=20,
                                       context=CONTEXT)
    try:
        conn.request("POST", "/s1/x", body, {"X-Api-Key": KEY})
    except OSError:
        pass  # refused while it was sent: the response can be read
    response = conn.getresponse()
    return response.status, response.headers, response.read()


class Caller(threading.Thread):
    def __init__(self):
        super().__init__(daemon=True)
        self.statuses = []
        self.well_refused = True

    def run(self):
        end = time.monotonic() + RETURNS_S
        while time.monotonic() < end:
            status, headers, body = send(BODY)
            self.statuses.append(status)
            if status != 503:
                return
            after = headers["Retry-After"] or ""
            if headers["X-Tm-Run"] != "no" or not after.isdigit() \
                    or json.loads(body)["error"] != "buffers_full":
                self.well_refused = False
                return
            time.sleep(int(after))


callers = [Caller() for _ in range(CALLERS)]
started = time.monotonic()
for caller in callers:
    caller.start()
ordinary = []
for _ in range(ORDINARY):
    ordinary.append(send(b"small")[0])
    time.sleep(0.02)
for caller in callers:
    caller.join()
memory_mb = read_memory_mb()
sendings = sum(len(x.statuses) for x in callers)
print(sendings, "sendings", round(time.monotonic() - started, 1), "s",
      round(memory_mb), "MB", file=sys.stderr)
print("some are refused:", any(503 in x.statuses for x in callers))
print("refused ones are told when to return:",
      all(x.well_refused for x in callers))
print("all are served at last:",
      all(x.statuses and x.statuses[-1] == 200 for x in callers))
print("callers return when there is room:",
      sendings <= SENDINGS_MAX * CALLERS)
print("memory is bounded:", memory_mb < MEMORY_MAX_MB)
print("ordinary requests are served:", set(ordinary) == {200})
