"""A target as a process of its own that speaks the platform's protocol. It
announces itself, records each request in a file and ends like a crashed process
when a body says so.

platform_target.py --id ID --control IP:PORT,... --record FILE [--service S]
    [--answer FILE] [--listener FD]

The file of --answer is read for each request and may hold, as JSON: "headers"
of each answer, "status" instead of 200, "work_s", "executed" (false: the answer
says that the request did not run), "body_bytes" of a longer body, "refuse_every": N (every Nth request is
answered 503, not run), "repeat": "as it was" or "without id" (a refusal is
written once more on its connection, ahead of the next answer). With "cold_until", a
wall clock in s, announcements say how long it stays cold, and it records when one
was acknowledged ("told cold"). "slots" are those that it announces, 8 by default."""
import argparse
import asyncio
import http.client
import json
import os
import socket
import sys
import threading
import time

BEAT_S = 0.5
CRASH_MARK = b"crash"
HEADERS_MAX = 65536


class Target:
    def __init__(self, args):
        self.args = args
        self.port = 0
        self.sequence = 0
        self.born_ms = int(time.time() * 1000)
        self.count = 0
        self.refusals = {}  # by connection: to be written again
        self.record = open(args.record, "a", encoding="utf-8", buffering=1)

    def read_answer(self):
        try:
            with open(self.args.answer, encoding="utf-8") as file:
                return json.load(file)
        except (TypeError, OSError, ValueError):
            return {}

    def write_record(self, headers, path, what):
        self.record.write(json.dumps({
            "t": time.monotonic(), "target": self.args.id, "what": what,
            "id": headers.get("tarragonmoor-attempt-id", ""),
            "path": path}) + "\n")

    async def serve(self, reader, writer):
        try:
            while await self.serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        self.refusals.pop(writer, None)
        writer.close()

    async def serve_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        method, path, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        if headers.get("tarragonmoor-expect-instance") != self.args.id:
            await self.answer(writer, headers, 421, {
                "Tarragonmoor-Not-Executed": "1"}, method)
            return True
        if CRASH_MARK in body or CRASH_MARK in path.encode():
            self.write_record(headers, path, "crashed")
            os._exit(70)
        answer = self.read_answer()
        ran = answer.get("executed", True)
        self.count += 1
        if self.count % answer.get("refuse_every", self.count + 1) == 0:
            ran = False
            answer["status"] = 503
        self.write_record(headers, path, "ran" if ran else "rejected")
        await asyncio.sleep(answer.get("work_s", 0))
        more = dict(answer.get("headers", {}))
        if not ran:
            more["Tarragonmoor-Not-Executed"] = "1"
        else:
            more["Tarragonmoor-Server-Signature"] = "sig"
        writer.write(self.refusals.pop(writer, b""))
        text = await self.answer(writer, headers, answer.get("status", 200),
                                 more, method)
        if not ran and "repeat" in answer:
            self.refusals[writer] = text if answer["repeat"] == "as it was" \
                else text.replace(b"Tarragonmoor-Attempt-Id", b"X-Other")
        return True

    async def answer(self, writer, headers, status, more, method):
        body = b"from " + self.args.id.encode()
        body = body.ljust(self.read_answer().get("body_bytes", 0), b".")
        lines = [f"HTTP/1.1 {status} {http.client.responses[status]}",
                 f"Content-Length: {len(body)}",
                 "Tarragonmoor-Attempt-Id: " +
                 headers.get("tarragonmoor-attempt-id", "")]
        lines += [f"{name}: {value}" for name, value in more.items()]
        text = "\r\n".join(lines).encode() + b"\r\n\r\n"
        text = text if method == "HEAD" else text + body
        writer.write(text)
        await writer.drain()
        return text

    def announce(self):
        controls = self.args.control.split(",")
        while True:
            self.sequence += 1
            answer = self.read_answer()
            cold_s = answer.get("cold_until", 0) - time.time()
            body = json.dumps({
                "Service": self.args.service,
                "Address": f"127.0.0.1:{self.port}", "Zone": self.args.zone,
                "Version": "v1", "MaxConcurrency": answer.get("slots", 8),
                "State": "ready",
                "WarmupLeftS": max(cold_s, 0), "Sequence": self.sequence,
                "born": self.born_ms})
            for control in controls:
                if self.announce_at(control, body):
                    if cold_s > 0:
                        self.write_record({}, "", "told cold")
                    break
            time.sleep(BEAT_S)

    def announce_at(self, control, body):
        path = f"/tarragonmoor/instances/{self.args.id}/heartbeat"
        for _ in range(2):
            try:
                conn = http.client.HTTPConnection(control, timeout=1)
                conn.request("POST", path, body)
                response = conn.getresponse()
                response.read()
                conn.close()
            except (OSError, http.client.HTTPException):
                return False
            if response.status != 307:
                return response.status < 300
            control = response.headers["Location"].split("/")[2]
        return False

    async def run(self):
        listener = socket.create_server(("127.0.0.1", 0)) \
            if self.args.listener is None \
            else socket.socket(fileno=self.args.listener)
        server = await asyncio.start_server(
            self.serve, sock=listener, limit=HEADERS_MAX, backlog=256)
        self.port = server.sockets[0].getsockname()[1]
        threading.Thread(target=self.announce, daemon=True).start()
        async with server:
            await server.serve_forever()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--control", required=True)
    parser.add_argument("--record", required=True)
    parser.add_argument("--service", default="s1")
    parser.add_argument("--zone", default="z1")
    parser.add_argument("--answer")
    parser.add_argument("--listener", type=int)
    asyncio.run(Target(parser.parse_args()).run())


if __name__ == "__main__":
    sys.exit(main())
