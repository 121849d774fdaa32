#!/usr/bin/env python3
"""Measures hubs under announcements: targets that announce themselves every 1.5 s
over kept connections, follow redirects and HeartbeatUrl, and call another hub when
one fails. Prints the hubs' processor time and descriptors while targets register,
in the steady state, and after the leader was killed.

announce_load.py BUILD WORK HUBS TARGETS SECONDS"""
import asyncio
import collections
import json
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, f"{HERE}/../test/functional")
from platform_fleet import Fleet, call  # noqa: E402

BUILD, WORK = sys.argv[1:3]
HUB_COUNT, TARGETS, SECONDS = (int(text) for text in sys.argv[3:6])
HUBS = [f"127.0.2.{i + 1}" for i in range(HUB_COUNT)]
SEEDS = 3
INTERVAL_S = 1.5
CALL_S = 1
CALLS_MAX = 6  # for one announcement
RUN_MAX_S = 100


class SeededFleet(Fleet):
    """Hubs know only the first ones from their settings."""

    def start(self, program, name, settings):
        settings["seeds"] = settings["seeds"][:SEEDS]
        super().start(program, name, settings)


os.makedirs(WORK, exist_ok=True)
fleet = SeededFleet(BUILD, WORK, HUBS, ["127.0.2.200"])
counts = collections.Counter()
latencies_ms = []
homes = {}


class Target:
    def __init__(self, number):
        self.number = number
        self.sequence = 0
        self.home = None
        self.next = random.randrange(HUB_COUNT)
        self.at = None
        self.reader = self.writer = None

    def close(self):
        if self.writer:
            self.writer.close()
        self.writer = None

    async def call(self, address):
        """Returns status and the address that the response names."""
        if self.at != address or self.writer is None:
            self.close()
            host, port = address.split(":")
            self.reader, self.writer = await asyncio.open_connection(
                host, int(port))
            self.at = address
            counts["connections"] += 1
        body = json.dumps({
            "Service": f"s{self.number // 100}", "Zone": "z1", "Version": "v1",
            "Address": f"10.1.{self.number // 250}.{self.number % 250 + 1}:80",
            "MaxConcurrency": 6, "State": "ready", "WarmupLeftS": 0,
            "Sequence": self.sequence, "born": 1000})
        self.writer.write((
            f"POST /tarragonmoor/instances/t{self.number}/heartbeat HTTP/1.1"
            f"\r\nHost: hub\r\nContent-Length: {len(body)}\r\n\r\n"
            f"{body}").encode())
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
        fields = dict(line.lower().split(": ", 1)
                      for line in head.split("\r\n")[1:] if line)
        text = await self.reader.readexactly(int(fields["content-length"]))
        status = int(head.split(" ")[1])
        if status == 307:
            return status, fields["location"].split("/")[2]
        named = json.loads(text).get("HeartbeatUrl") if status == 200 else None
        return status, named

    async def announce(self):
        self.sequence += 1
        for _ in range(CALLS_MAX):
            address = self.home or \
                f"{HUBS[self.next % HUB_COUNT]}:{fleet.control_port}"
            start = time.monotonic()
            try:
                status, named = await asyncio.wait_for(
                    self.call(address), CALL_S)
                counts[status] += 1
            except (OSError, asyncio.TimeoutError,
                    asyncio.IncompleteReadError) as error:
                counts[type(error).__name__] += 1
                self.close()
                status, named = 0, None
            self.home = named
            if status == 200:
                latencies_ms.append(1000 * (time.monotonic() - start))
                homes[self.number] = named
                return True
            if status != 307:
                self.next += 1
                await asyncio.sleep(0.2)
        return False

    async def run(self):
        await asyncio.sleep(random.random() * INTERVAL_S)
        while True:
            start = time.monotonic()
            counts["acked" if await self.announce() else "lost"] += 1
            await asyncio.sleep(
                max(0, start + INTERVAL_S - time.monotonic()))


def read_cpu_s(hub):
    path = f"/proc/{fleet.processes[f'hub{hub}'].pid}/stat"
    try:
        with open(path, encoding="utf-8") as file:
            fields = file.read().split()
    except OSError:
        return 0
    return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")


def count_descriptors(hub):
    try:
        return len(os.listdir(f"/proc/{fleet.processes[f'hub{hub}'].pid}/fd"))
    except OSError:
        return 0


def find_leader():
    for i, ip in enumerate(HUBS):
        try:
            if b"tm_hub_is_leading 1" in call(ip, fleet.metrics, "GET",
                                              "/metrics", timeout=2)[1]:
                return i
        except OSError:
            pass
    return None


async def report(phase, seconds):
    counts.clear()
    latencies_ms.clear()
    before = [read_cpu_s(i) for i in range(HUB_COUNT)]
    start = time.monotonic()
    await asyncio.sleep(seconds)
    passed_s = time.monotonic() - start
    cpu = [100 * (read_cpu_s(i) - before[i]) / passed_s
           for i in range(HUB_COUNT)]
    leader = await asyncio.to_thread(find_leader)
    times = sorted(latencies_ms) or [0]
    print(f"{phase}: leader {leader}, cpu %", [f"{x:.1f}" for x in cpu],
          "descriptors", [count_descriptors(i) for i in range(HUB_COUNT)],
          f"acked/s {counts['acked'] / passed_s:.0f}",
          f"ms p50 {times[len(times) // 2]:.1f}",
          f"p99 {times[len(times) * 99 // 100]:.1f} max {times[-1]:.1f}",
          dict(counts), flush=True)
    return leader


async def main():
    for i in range(HUB_COUNT):
        if i == SEEDS:
            await asyncio.sleep(1.5)
        fleet.start_hub(i, i < SEEDS)
    await asyncio.sleep(2)
    tasks = [asyncio.create_task(Target(i).run()) for i in range(TARGETS)]
    await report("registering", 6)
    leader = await report("steady", SECONDS)
    print("targets of the hubs",
          sorted(collections.Counter(homes.values()).values()))
    if leader is not None:
        fleet.processes[f"hub{leader}"].kill()
        await report("leader killed", 6)
        await report("after it", SECONDS)
    for task in tasks:
        task.cancel()


try:
    asyncio.run(asyncio.wait_for(main(), RUN_MAX_S))
finally:
    fleet.kill_all()
    sys.stdout.flush()
    os._exit(0)
