"""A constant load on one service, and the check of FLOOR (RULES.md): "For 2 s some,
but less than `FloorShare`, of a service's sound upstreams get requests, while more
than a tenth of its requests, but under half, aren't served"."""
import asyncio
import time

FLOOR_SHARE, WINDOW_S = 0.7, 2
UNSERVED_MIN, UNSERVED_MAX = 0.1, 0.5
DEADLINE_MS = 1500
STEP_S = 0.25


class Client:
    """Sends requests at a constant rate, each on an idle kept connection."""

    def __init__(self, fleet, record, per_s):
        self.fleet = fleet
        self.record = record
        self.per_s = per_s
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
                max(0, started + number / self.per_s - time.monotonic()))
        await asyncio.gather(*tasks)


def find_breaks(record, client, arrivals, begin, end):
    """Records the windows from begin to end in which the rule is broken.

    arrivals: for each sound upstream, the times at which requests reached it.
    @return their number, and that of all windows"""
    broken = windows = 0
    while begin + WINDOW_S <= end:
        until = begin + WINDOW_S
        used = sum(1 for times in arrivals
                   if any(begin <= at < until for at in times))
        sent = [attempt for attempt, at in client.sent.items()
                if begin <= at < until]
        unserved = sum(1 for attempt in sent if attempt not in client.served)
        share = unserved / max(1, len(sent))
        windows += 1
        if (0 < used < FLOOR_SHARE * len(arrivals) and
                UNSERVED_MIN < share < UNSERVED_MAX):
            broken += 1
            record.write("FLOOR", window_from=round(begin - record.started, 3),
                         sound=len(arrivals), used=used,
                         unserved=round(share, 3))
        begin += STEP_S
    return broken, windows
