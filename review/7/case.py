"""A gate is stopped (SIGTERM) while clients that pipeline safe requests wait for
the first answer. Each client has sent its second request by then, as a write of its
own. The rule is broken if a first request, which an upstream ran and answered
whole, gets no complete answer."""
import asyncio
import os
import signal
import socket
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))

import stand_ins as sa  # noqa: E402

WORK_S = 0.6
SECOND_AFTER_S = 0.1
STOP_AFTER_S = 0.3
DEADLINE_MS = 5000
CLIENTS = 6  # of each group
# Receive buffer of the client, 0: the kernel's own size; bytes of the answers. A
# link with a small window, and the longest answer in the site files; a longer
# answer over a plain socket.
GROUPS = {"small-window": (4096, 30000), "plain": (0, 400000)}


def document():
    return {"Version": 7, "Routes": {"r1": {
        "Host": "a.example", "PathPrefix": "/x/", "Kind": "safe",
        "TimeoutS": 5, "TargetLatencyS": 2, "Priority": 0, "Service": "s1",
        "MaxAttempts": 2, "Anonymous": False}},
        "Services": {"s1": {"HealthPath": "/health", "MaxConns": 360}},
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864,
                   "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
        "Tenants": {"w1": {"ApiKeys": ["key-one"], "RatePerS": 0,
                           "Burst": 0}}}


def answer(_attempt, path):
    return WORK_S, b"x" * int(path.rsplit("/", 1)[1])


def request(attempt, size):
    return (f"GET /x/{size} HTTP/1.1\r\nHost: a.example\r\n"
            f"Tarragonmoor-Attempt-Id: {attempt}\r\n"
            f"Tarragonmoor-Deadline-Ms: {DEADLINE_MS}\r\n"
            f"Api-Key: key-one\r\n\r\n").encode()


async def read_answer(loop, sock, rest):
    """@return status, whether it is whole, bytes of its body, what follows it"""
    data = rest
    try:
        while b"\r\n\r\n" not in data:
            part = await loop.sock_recv(sock, 65536)
            if not part:
                return 0, False, 0, b""
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        length = [int(line.split(":")[1]) for line in lines
                  if line.lower().startswith("content-length:")][0]
        status = int(lines[0].split(" ")[1])
    except OSError:
        return 0, False, 0, b""
    try:
        while len(body) < length:
            part = await loop.sock_recv(sock, 65536)
            if not part:
                break
            body += part
    except OSError:
        pass
    return status, len(body) >= length, min(len(body), length), body[length:]


async def client(fleet, record, name, buffer, size, outcome):
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    if buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
    await loop.sock_connect(sock, (fleet.gates[0], fleet.front))
    try:
        for number in (1, 2):
            attempt = f"{name}-{number}"
            record.write("send", attempt=attempt, gate=fleet.gates[0])
            await loop.sock_sendall(sock, request(attempt, size))
            await asyncio.sleep(SECOND_AFTER_S)
        rest = b""
        for number in (1, 2):
            attempt = f"{name}-{number}"
            status, is_whole, length, rest = await asyncio.wait_for(
                read_answer(loop, sock, rest), DEADLINE_MS / 1000 + 1)
            outcome[attempt] = (status, is_whole)
            record.write("get", attempt=attempt, status=status,
                         whole=is_whole, bytes=length)
            if not is_whole:
                return
    except asyncio.TimeoutError:
        record.write("no-answer", client=name)
    finally:
        sock.close()


async def play(fleet, record):
    sa.start_processes(fleet)
    upstreams = [sa.Upstream(fleet, record, f"u{i}", answer) for i in range(4)]
    status, _ = await sa.control(
        fleet, "POST", "/tarragonmoor/config/put", document(), sa.START_MAX_S)
    if status != 200:
        return sa.NOT_RUN
    for upstream in upstreams:
        await upstream.start()
    if not await sa.wait_for(lambda: sa.is_ready(fleet, 0)):
        return sa.NOT_RUN
    # All machines are in touch, and upstreams are known, by then.
    await asyncio.sleep(5)
    outcome = {}
    clients = [asyncio.create_task(client(
        fleet, record, f"{group}-{i}", buffer, size, outcome))
        for group, (buffer, size) in GROUPS.items() for i in range(CLIENTS)]
    await asyncio.sleep(STOP_AFTER_S)
    if sa.has_trouble():
        record.write("SIGTERM", gate=fleet.gates[0])
        fleet.processes["gate0"].send_signal(signal.SIGTERM)
    await asyncio.gather(*clients)
    answered = set().union(*(upstream.answered for upstream in upstreams))
    firsts = [f"{group}-{i}-1" for group in GROUPS for i in range(CLIENTS)]
    lost = [attempt for attempt in firsts if attempt in answered and
            not outcome.get(attempt, (0, False))[1]]
    for attempt in lost:
        record.write("LOST", attempt=attempt)
    record.write("sum", answered_by_upstreams=len(answered), lost=len(lost))
    if not answered.intersection(firsts):
        return sa.NOT_RUN
    return sa.BROKEN if lost else sa.HELD


if __name__ == "__main__":
    sys.exit(sa.run_case(FOLDER, play))
