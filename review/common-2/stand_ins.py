"""Stand-ins for the cases of review/6 to review/10: hubs and gates as processes,
upstreams that keep to PROTOCOL.md, and a record of what was sent, answered and run.
"""
import asyncio
import json
import os
import random
import shutil
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(
    __file__))))
sys.path.insert(0, os.path.join(ROOT, "test", "functional"))

from platform_fleet import Fleet  # noqa: E402 (found by the line before)

BEAT_S = 1.5
CALL_MAX_S = 1
START_MAX_S = 20
# Bounds of both small site files, as the templates in deploy/ render them.
RATES = {"rate_window_s": 5, "rate_overshoot": 0.1, "rate_slack": 20}
HUB_SETTINGS = {"retry_ratio": 0.2, "retry_burst": 60, "used_share_min": 0.7,
                "dialect": "platform", **RATES}
GATE_SETTINGS = {"revoke_within_s": 5, "stop_within_s": 6,
                 "dialect": "platform", **RATES}
BROKEN, HELD, NOT_RUN = 1, 0, 2


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines of record.txt beside the script; times are since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")

    def write(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(
            f"{time.monotonic() - self.started:9.3f} {what} {text}\n")
        self.file.flush()


class Upstream:
    """A sound server: keeps connections, echoes the attempt id, signs what it ran,
    tells its load, turns away what its queue has no place for, and announces itself.
    answer(attempt, path) returns the seconds of work and the body."""

    def __init__(self, fleet, record, name, answer, service="s1", slots=64,
                 queue=64):
        self.fleet = fleet
        self.record = record
        self.id = name
        self.answer = answer
        self.service = service
        self.slots = slots
        self.queue = queue
        self.free = None  # semaphore of the slots
        self.held = 0  # requests that run or wait
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.port = 0
        self.is_leaving = False
        self.server = None
        self.writers = set()
        self.ran = []  # attempt ids
        self.answered = set()  # attempt ids whose answer was taken whole

    async def start(self):
        self.free = asyncio.Semaphore(self.slots)
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        asyncio.create_task(self.announce())

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                await self.serve_one(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        path = lines[0].split(" ")[1]
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
        await reader.readexactly(int(fields.get("content-length", 0)))
        attempt = fields.get("tarragonmoor-attempt-id", "")
        if fields.get("tarragonmoor-expect-instance") != self.id:
            await self.send(writer, 421, "Misdirected Request", attempt,
                            ["Tarragonmoor-Not-Executed: 1"], b"")
            return
        if self.held >= self.slots + self.queue:
            self.record.write("reject", upstream=self.id, attempt=attempt)
            await self.send(writer, 503, "Service Unavailable", attempt, [
                "Tarragonmoor-Not-Executed: 1", self.format_load()], b"")
            return
        self.held += 1
        try:
            async with self.free:
                self.ran.append(attempt)
                self.record.write(
                    "run", upstream=self.id, attempt=attempt,
                    tenant=fields.get("tarragonmoor-tenant-id", "-"))
                work_s, body = self.answer(attempt, path)
                await asyncio.sleep(work_s)
        finally:
            self.held -= 1
        await self.send(writer, 200, "OK", attempt, [
            "Tarragonmoor-Server-Signature: " + self.id,
            self.format_load()], body)
        self.answered.add(attempt)
        self.record.write("answer", upstream=self.id, attempt=attempt,
                          bytes=len(body))

    def format_load(self):
        running = min(self.held, self.slots)
        return (f"Tarragonmoor-Server-Load: {running},{self.held - running},"
                f"{self.slots}")

    @staticmethod
    async def send(writer, status, reason, attempt, more, body):
        lines = [f"HTTP/1.1 {status} {reason}",
                 f"Tarragonmoor-Attempt-Id: {attempt}",
                 f"Content-Length: {len(body)}"] + more
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()

    async def say(self, state, max_s):
        """@return whether a heartbeat was acknowledged"""
        self.sequence += 1
        status, _ = await control(
            self.fleet, "POST",
            f"/tarragonmoor/instances/{self.id}/heartbeat", {
                "Service": self.service, "Zone": "z1", "Version": "v1",
                "Address": f"127.0.0.1:{self.port}",
                "MaxConcurrency": self.slots, "State": state,
                "WarmupLeftS": 0, "Sequence": self.sequence,
                "born": self.born}, max_s)
        return status == 200

    async def announce(self):
        while not self.is_leaving:
            await self.say("ready", BEAT_S)
            await asyncio.sleep(BEAT_S)

    async def leave(self, max_s, serve_s):
        """Says that it leaves, serves on and exits. @return whether that was
        acknowledged in time"""
        self.is_leaving = True
        is_acknowledged = await self.say("draining", max_s)
        self.record.write("leave", upstream=self.id,
                          acknowledged=is_acknowledged)
        await asyncio.sleep(serve_s)
        self.server.close()
        for writer in list(self.writers):
            writer.close()
        self.record.write("exit", upstream=self.id)
        return is_acknowledged


async def call_once(ip, port, method, path, text, redirects=2,
                    max_s=CALL_MAX_S):
    """One call of control. @return status and body; status 0: no answer"""
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(ip, port), max_s)
    except (OSError, asyncio.TimeoutError):
        return 0, b""
    try:
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: control\r\n"
            f"Content-Type: application/json\r\nConnection: close\r\n"
            f"Content-Length: {len(text)}\r\n\r\n{text}".encode())
        answer = await asyncio.wait_for(reader.read(-1), max_s)
    except (OSError, asyncio.TimeoutError):
        return 0, b""
    finally:
        writer.close()
    head, _, body = answer.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    if len(lines[0].split(" ")) < 2:
        return 0, b""
    status = int(lines[0].split(" ")[1])
    if status != 307 or redirects == 0:
        return status, body
    place = [line for line in lines if line.lower().startswith("location:")]
    host = place[0].split("//")[1].split(":")[0]
    return await call_once(host, port, method, path, text, redirects - 1,
                           max_s)


async def control(fleet, method, path, body=None, max_s=5):
    """Calls hubs in turn until one answers clearly. @return status and body"""
    text = json.dumps(body) if body is not None else ""
    end = time.monotonic() + max_s
    hubs = list(fleet.hubs)
    random.shuffle(hubs)
    while time.monotonic() < end:
        for ip in hubs:
            status, answer = await call_once(
                ip, fleet.control_port, method, path, text)
            if 200 <= status < 500 and status not in (408, 429):
                return status, answer
        await asyncio.sleep(0.1)
    return 0, b""


async def is_ready(fleet, gate):
    status, _ = await call_once(fleet.gates[gate], fleet.ready, "GET",
                                "/tarragonmoor/ready", "")
    return status == 200


async def wait_for(condition, max_s=START_MAX_S):
    end = time.monotonic() + max_s
    while time.monotonic() < end:
        if await condition():
            return True
        await asyncio.sleep(0.1)
    return False


def make_fleet(work, hubs=3, gates=2):
    """A fleet on loopback addresses of its own."""
    net = f"127.{random.randrange(16, 112)}.{random.randrange(1, 250)}"
    fleet = Fleet(os.path.join(ROOT, "target"), work,
                  [f"{net}.{i + 1}" for i in range(hubs)],
                  [f"{net}.{i + 100}" for i in range(gates)])
    fleet.hub_settings = dict(HUB_SETTINGS)
    fleet.gate_settings = {i: dict(GATE_SETTINGS) for i in range(gates)}
    return fleet


def start_processes(fleet):
    for i in range(len(fleet.hubs)):
        fleet.start_hub(i, True)
    for i in range(len(fleet.gates)):
        fleet.start_gate(i)


def run_case(folder, play):
    """Runs play(fleet, record), which returns an exit code, and ends the processes.
    """
    record = Record(folder)
    work = tempfile.mkdtemp(prefix="tm-review.")
    code = NOT_RUN
    fleet = None
    try:
        for program in ("tm-gate", "tm-hub"):
            if not os.path.exists(f"{ROOT}/target/bin/{program}"):
                record.write("missing", program=program)
                return NOT_RUN
        fleet = make_fleet(work)
        code = asyncio.run(play(fleet, record))
    except OSError as error:
        record.write("cannot-run", error=error)
    finally:
        if fleet is not None:
            fleet.kill_all()
            for process in fleet.processes.values():
                process.wait()
        shutil.rmtree(work, ignore_errors=True)
        record.write("result", code=code, trouble=has_trouble())
    print({BROKEN: "broken", HELD: "held", NOT_RUN: "could not run"}[code])
    return code
