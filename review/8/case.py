"""Another writer sends three heartbeats, one for the address of each of three of
the six upstreams of a service. They name a service that the configuration does not
have. The rule (FLOOR) is broken if the sound upstreams behind those addresses get no
more requests while the service has too little room."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))

import stand_ins as sa  # noqa: E402

FLOOR_SHARE, WINDOW_S = 0.7, 2
UNSERVED_MIN, UNSERVED_MAX = 0.1, 0.5
UPSTREAMS, STRAY = 6, 3
SLOTS, QUEUE, WORK_S = 4, 8, 0.2
PER_S = 85  # of 120 that all upstreams can run
DEADLINE_MS = 1500
BEFORE_S, AFTER_S = 8, 25
# The tests of the rule begin after the times that it leaves to heartbeats and to
# machines, twice ConnectivityWindowS, have passed.
SETTLE_S = 6
STEP_S = 0.25


def document():
    return {"Version": 7, "Routes": {"r1": {
        "Host": "a.example", "PathPrefix": "/x/", "Kind": "safe",
        "TimeoutS": 3, "TargetLatencyS": 1.2, "Priority": 0, "Service": "s1",
        "MaxAttempts": 2, "Anonymous": False}},
        "Services": {"s1": {"HealthPath": "/health", "MaxConns": 360}},
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864,
                   "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
        "Tenants": {"w1": {"ApiKeys": ["key-one"], "RatePerS": 0,
                           "Burst": 0}}}


class Client:
    """Sends requests at a constant rate, each on an idle kept connection."""

    def __init__(self, fleet, record):
        self.fleet = fleet
        self.record = record
        self.idle = [[] for _ in fleet.gates]
        self.sent = {}  # time by attempt
        self.served = set()

    async def request(self, number):
        attempt = f"a-{number}"
        gate = number % len(self.fleet.gates)
        self.sent[attempt] = time.monotonic()
        status = 0
        try:
            if self.idle[gate]:
                reader, writer = self.idle[gate].pop()
            else:
                reader, writer = await asyncio.open_connection(
                    self.fleet.gates[gate], self.fleet.front)
            writer.write((
                f"GET /x/{number} HTTP/1.1\r\nHost: a.example\r\n"
                f"Tarragonmoor-Attempt-Id: {attempt}\r\n"
                f"Tarragonmoor-Deadline-Ms: {DEADLINE_MS}\r\n"
                "Api-Key: key-one\r\n\r\n").encode())
            text = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            await reader.readexactly(
                int(text.split("content-length:")[1].split()[0]))
            status = int(text.split(" ")[1])
            self.idle[gate].append((reader, writer))
        except (OSError, asyncio.IncompleteReadError):
            pass
        if status == 200:
            self.served.add(attempt)
        self.record.write("get", attempt=attempt, status=status)

    async def run(self, stop):
        started = time.monotonic()
        number = 0
        tasks = []
        while not stop.is_set():
            number += 1
            tasks.append(asyncio.create_task(self.request(number)))
            await asyncio.sleep(
                max(0, started + number / PER_S - time.monotonic()))
        await asyncio.gather(*tasks)


def find_breaks(client, arrivals, begin, end):
    """@return windows in which the rule is broken, of those from begin to end"""
    found, windows = [], 0
    while begin + WINDOW_S <= end:
        until = begin + WINDOW_S
        used = sum(1 for times in arrivals
                   if any(begin <= at < until for at in times))
        sent = [attempt for attempt, at in client.sent.items()
                if begin <= at < until]
        unserved = sum(1 for attempt in sent if attempt not in client.served)
        share = unserved / max(1, len(sent))
        windows += 1
        if (0 < used < FLOOR_SHARE * UPSTREAMS and
                UNSERVED_MIN < share < UNSERVED_MAX):
            found.append((begin, used, share))
        begin += STEP_S
    return found, windows


async def play(fleet, record):
    sa.start_processes(fleet)
    arrivals = [[] for _ in range(UPSTREAMS)]

    def make_answer(index):
        def answer(_attempt, _path):
            arrivals[index].append(time.monotonic())
            return WORK_S, b"done"
        return answer

    upstreams = [sa.Upstream(fleet, record, f"u{i}", make_answer(i),
                             slots=SLOTS, queue=QUEUE)
                 for i in range(UPSTREAMS)]
    status, _ = await sa.control(
        fleet, "POST", "/tarragonmoor/config/put", document(), sa.START_MAX_S)
    if status != 200:
        return sa.NOT_RUN
    for upstream in upstreams:
        await upstream.start()
    for gate in range(len(fleet.gates)):
        if not await sa.wait_for(lambda: sa.is_ready(fleet, gate)):
            return sa.NOT_RUN
    await asyncio.sleep(5)
    client, stop = Client(fleet, record), asyncio.Event()
    load = asyncio.create_task(client.run(stop))
    await asyncio.sleep(BEFORE_S)
    for upstream in upstreams[:STRAY]:
        if not sa.has_trouble():
            break
        status, _ = await sa.control(
            fleet, "POST",
            f"/tarragonmoor/instances/other-{upstream.id}/heartbeat", {
                "Service": "not-in-the-configuration", "Zone": "z1",
                "Version": "v1", "Address": f"127.0.0.1:{upstream.port}",
                "MaxConcurrency": SLOTS, "State": "ready", "WarmupLeftS": 0,
                "Sequence": 1, "born": int(time.time() * 1000)})
        record.write("stray-heartbeat", address=upstream.port, status=status)
    begin = time.monotonic() + SETTLE_S
    await asyncio.sleep(AFTER_S)
    end = time.monotonic() - DEADLINE_MS / 1000
    stop.set()
    await load
    found, windows = find_breaks(client, arrivals, begin, end)
    for at, used, share in found:
        record.write("FLOOR", window_from=round(at - record.started, 3),
                     upstreams_used=used, unserved=round(share, 3))
    record.write("sum", windows=windows, broken=len(found),
                 served=len(client.served), sent=len(client.sent))
    if not client.served:
        return sa.NOT_RUN
    return sa.BROKEN if found else sa.HELD


if __name__ == "__main__":
    sys.exit(sa.run_case(FOLDER, play))
