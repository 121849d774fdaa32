"""Sends requests of odd shapes to tm-entry and prints each answer.

Usage: request_shapes.py HOST:PORT KEY RECORD TARGET_ADMIN shapes|unparsed
RECORD is the record file of the only target. Printed are the statuses with
X-Tm-Run of the answers on the connection, how the connection ended, and the
request ids that the target ran for the case.
"""
import json
import re
import socket
import sys
import time
import urllib.request

HOST, PORT = sys.argv[1].split(":")
KEY = sys.argv[2]
RECORD = sys.argv[3]
AUTH = f"X-Api-Key: {KEY}\r\n"
LIMIT_S = 3


def connect():
    sock = socket.create_connection((HOST, int(PORT)))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def read_records():
    with open(RECORD, encoding="utf-8") as lines:
        return [json.loads(line) for line in lines]


class Reader:
    """Reads the answers of one connection."""

    def __init__(self, sock):
        self.sock = sock
        self.data = b""

    def fill(self, deadline):
        self.sock.settimeout(max(0.01, deadline - time.monotonic()))
        try:
            more = self.sock.recv(65536)
        except socket.timeout:
            return "open"
        except ConnectionResetError:
            return "reset"
        if not more:
            return "closed"
        self.data += more
        return None

    def read(self, is_head=False):
        """Returns (status, headers, body), or how the connection ended."""
        deadline = time.monotonic() + LIMIT_S
        while True:
            head, gap, rest = self.data.partition(b"\r\n\r\n")
            if gap:
                lines = head.decode("latin-1").split("\r\n")
                status = int(lines[0].split()[1])
                headers = dict(line.lower().split(": ", 1)
                               for line in lines[1:])
                length = 0 if is_head or status < 200 else int(
                    headers.get("content-length", "0"))
                if len(rest) >= length:
                    self.data = rest[length:]
                    return status, headers, rest[:length]
            end = self.fill(deadline)
            if end is not None:
                return end


def describe(answer):
    status, headers, body = answer
    run = headers.get("x-tm-run")
    text = str(status)
    if run is not None:
        text += f" run={run}"
    elif status >= 400:
        text += " run=MISSING"
    if status >= 400 and body[:1] == b"{":
        said = json.loads(body)
        text += f" {said['error']}"
        if said["run"] != run:
            text += " BODY-SAYS-" + said["run"]
    return text


def exchange(raw, answers=1, is_head=False, halfclose=False, chunks=None):
    sock = connect()
    reader = Reader(sock)
    out = []
    try:
        for part in chunks or [raw]:
            sock.sendall(part)
            if chunks:
                time.sleep(0.1)
        if halfclose:
            sock.shutdown(socket.SHUT_WR)
    except (BrokenPipeError, ConnectionResetError):
        out.append("cut-while-sending")
    for _ in range(answers):
        answer = reader.read(is_head)
        if isinstance(answer, str):
            out.append(answer)
            break
        out.append(describe(answer))
    if reader.data:
        out.append(f"EXTRA {reader.data[:40]!r}")
    sock.close()
    return out


def case(name, raw, **options):
    """Runs one case and prints it with what the target ran."""
    before = len(read_records())
    out = exchange(raw, **options)
    time.sleep(0.05)
    ran = [f"{r['method']} {r['path']} {r['request_id']}"
           for r in read_records()[before:] if r["phase"] == "end"]
    ran = [re.sub(r"[0-9a-f-]{16,}", "GENERATED", text) for text in ran]
    print(f"{name}: {', '.join(out)}; ran {ran}", flush=True)


def request(path="/s1/x", method="GET", headers="", body="", ident="",
            host="Host: h\r\n", version="HTTP/1.1", auth=AUTH):
    ident = f"X-Request-Id: {ident}\r\n" if ident else ""
    return (f"{method} {path} {version}\r\n{host}{auth}{ident}{headers}\r\n"
            f"{body}").encode("latin-1")


def cases_of_framing():
    post = {"method": "POST"}
    inner = "GET /s1/smuggled HTTP/1.1\r\nHost: h\r\n" + AUTH + "\r\n"
    case("plain", request(ident="p1"))
    case("length and chunks", request(
        headers=f"Content-Length: {len(inner) + 5}\r\n"
        "Transfer-Encoding: chunked\r\n", body="0\r\n\r\n" + inner,
        ident="lc", **post), answers=2)
    case("chunks and length", request(
        headers="Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
        body="3\r\nabc\r\n0\r\n\r\n", ident="cl", **post), answers=2)
    case("two lengths", request(
        headers=f"Content-Length: 0\r\nContent-Length: {len(inner)}\r\n",
        body=inner, ident="2l", **post), answers=2)
    case("two lengths, swapped", request(
        headers=f"Content-Length: {len(inner)}\r\nContent-Length: 0\r\n",
        body=inner, ident="2s", **post), answers=2)
    case("two equal lengths", request(
        headers="Content-Length: 3\r\nContent-Length: 3\r\n", body="abc",
        ident="2e", **post))
    for value in ("-1", "+3", "3x", "0x3", "3, 3", "",
                  "99999999999999999999"):
        case(f"length {value!r}", request(
            headers=f"Content-Length: {value}\r\n", body="abc", **post), answers=2)
    for value in ("gzip", "chunked, identity", "xchunked", "identity"):
        case(f"encoding {value!r}", request(
            headers=f"Transfer-Encoding: {value}\r\n",
            body="3\r\nabc\r\n0\r\n\r\n", **post), answers=2)
    case("two encodings", request(
        headers="Transfer-Encoding: identity\r\nTransfer-Encoding: chunked"
        "\r\n", body="0\r\n\r\n", **post), answers=2)
    case("folded header", request(headers="X-A: b\r\n c\r\n", ident="fh"),
         answers=2)
    case("GET with a body", request(
        headers=f"Content-Length: {len(inner)}\r\n", body=inner,
        ident="gb"), answers=2)
    chunked = {"headers": "Transfer-Encoding: chunked\r\n", **post}
    case("chunks", request(body="1\r\na\r\n2;x=y\r\nbc\r\n0\r\nT: v\r\n\r\n",
                           ident="ch", **chunked))
    for body in ("-1\r\na\r\n0\r\n\r\n", "g\r\na\r\n0\r\n\r\n",
                 "1\r\nab\r\n0\r\n\r\n",
                 "ffffffffffffffffff\r\na\r\n0\r\n\r\n"):
        case(f"chunk {body.split()[0]!r}", request(body=body, **chunked),
             answers=2)


def cases_of_targets():
    case("no host", request(host="", ident="nh"))
    case("two hosts", request(host="Host: h\r\nHost: evil\r\n", ident="2h"))
    case("key as host", request(host=f"Host: {KEY}\r\n"))
    case("key as method", request(method=KEY))
    case("absolute form", request(path="http://h/s1/abs", ident="af"))
    case("absolute form, other host", request(
        path="http://evil/s1/abs", ident="ao"))
    case("key in the URL", request(path=f"/s1/x?k={KEY}"))
    case("asterisk", request(path="*", method="OPTIONS"))
    case("CONNECT", request(path="h:80", method="CONNECT"))
    for path in ("/s1/../s1/a", "/s1/a/../../none", "/none/../s1/a",
                 "/none/%2e%2e/s1/a", "/s1/..%2fs2/a", "/s1%2fa",
                 "/s1/%2e%2e%2fs2", "/s1/a%2f..%2fb", "//s1/a", "/s1//a",
                 "/s1/a%00b", "/s1/%5c..%5cb", "/s1/a%", "s1/a",
                 "/S1/a"):
        case(f"path {path}", request(path=path, ident="pt"))
    case("upgrade to h2c", request(
        headers="Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
        "HTTP2-Settings: AAMAAABkAARAAAAAAAIAAAAA\r\n", ident="up"))
    case("HTTP/1.0", request(version="HTTP/1.0", ident="10"), answers=2)
    case("HTTP/1.0 with keep-alive", request(
        version="HTTP/1.0", headers="Connection: keep-alive\r\n",
        ident="1k"))
    case("HEAD", request(method="HEAD", ident="hd"), is_head=True)
    case("HEAD, refused, and one more", request(method="HEAD", auth="")
         + request(method="HEAD", ident="hm"), is_head=True, answers=2)


def case_of_error():
    """An error of the target is no refusal: the request ran."""
    def set_faults(faults):
        urllib.request.urlopen(urllib.request.Request(
            f"http://{sys.argv[4]}/faults", method="PUT",
            data=json.dumps(faults).encode())).read()

    before = len(read_records())
    set_faults({"error_share": 1, "error_status": 404})
    sock = connect()
    sock.sendall(request(ident="er"))
    status, headers, _ = Reader(sock).read()
    sock.close()
    set_faults({})
    ran = [r["outcome"] for r in read_records()[before:]
           if r["phase"] == "end"]
    print(f"error of the target: {status}, X-Tm-Run "
          f"{headers.get('x-tm-run', 'absent')}; ran {ran}")


def cases_unparsed():
    """Requests that end before there are headers."""
    inner = "GET /s1/smuggled HTTP/1.1\r\nHost: h\r\n" + AUTH + "\r\n"
    case("space before colon", request(
        headers=f"Content-Length : {len(inner)}\r\n", body=inner,
        method="POST"), answers=2)
    case("bad bytes in the line", b"GET /s1/\x00x HTTP/1.1\r\n\r\n",
         answers=2)
    case("no version", b"GET /s1/x\r\n\r\n", answers=2)
    case("HTTP/2 preface", b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
         + b"\0\0\0\4\0\0\0\0\0", answers=2)
    case("TLS hello", bytes.fromhex("160301007a0100007603030000") + b"\n\n",
         answers=2)
    case("101 headers", request(headers="X-A: b\r\n" * 101), answers=2)


def cases_of_limits():
    filler = "X-Fill: " + "f" * 4000 + "\r\n"
    case("headers of 12 KiB", request(headers=filler * 3, ident="h12"))
    case("headers of 17 KiB", request(headers=filler * 4 + filler))
    case("headers of 300 KiB", request(headers=filler * 75))
    case("path of 17 KiB", request(path="/s1/" + "p" * 17000))
    case("body of 1 MiB", request(
        method="POST", headers="Content-Length: 1048576\r\n",
        body="b" * 1048576, ident="1m"))
    case("body over 1 MiB", request(
        method="POST", headers="Content-Length: 1048577\r\n"))
    case("chunks over 1 MiB", request(
        method="POST", headers="Transfer-Encoding: chunked\r\n",
        body="100001\r\n" + "b" * 0x100001 + "\r\n0\r\n\r\n"))
    case("request id of 64 bytes", request(ident="i" * 64))
    case("request id with a quote", request(ident='a"b'))


def cases_of_timing():
    three = b"".join(request(path=f"/s1/{i}", ident=f"pl{i}")
                     for i in range(3))
    case("three requests at once", three, answers=3)
    case("refused and answered at once",
         request(auth="", ident="ra1") + request(ident="ra2"), answers=2)
    case("half-closed", request(ident="hc"), halfclose=True)
    case("half-closed within the head", b"GET /s1/x HT", halfclose=True)
    case("half-closed within the body", request(
        method="POST", headers="Content-Length: 10\r\n", body="abc"),
        halfclose=True)
    raw = request(method="POST", headers="Content-Length: 4\r\n",
                  body="abcd", ident="sw")
    case("slow writing", raw,
         chunks=[raw[i:i + 20] for i in range(0, len(raw), 20)])
    head = request(method="POST", ident="ex", headers="Content-Length: 3\r\n"
                   "Expect: 100-continue\r\n")
    case("expect 100-continue", None, chunks=[head, b"abc"], answers=2)
    case("expect, body over 1 MiB", request(
        method="POST", headers="Content-Length: 1048577\r\n"
        "Expect: 100-continue\r\n"))
    case("expect something else", request(
        method="POST", headers="Content-Length: 3\r\nExpect: x\r\n",
        body="abc", ident="eo"))


def slow_reading():
    """A caller that does not read must not hold up the others."""
    sock = connect()
    for i in range(40):
        sock.sendall(request(ident=f"slow{i}"))
    began = time.monotonic()
    out = exchange(request(ident="fast"))
    quick = time.monotonic() - began < 1
    reader = Reader(sock)
    got = []
    for i in range(40):
        answer = reader.read()
        got.append(answer[1]["x-request-id"] == f"slow{i}"
                   and answer[0] == 200)
    print(f"slow reading: others {out} quick {quick}; own answers in order "
          f"{all(got)}")
    sock.close()


def many_connections(limit):
    """Connections over the limit are closed; the others go on."""
    socks = []
    for _ in range(limit + 50):
        socks.append(connect())
    time.sleep(0.5)
    closed = 0
    for sock in socks:
        sock.setblocking(False)
        try:
            closed += sock.recv(1) == b""
        except BlockingIOError:
            pass
        except ConnectionResetError:
            closed += 1
    socks[0].setblocking(True)
    socks[0].sendall(request(ident="mc"))
    answer = Reader(socks[0]).read()
    for sock in socks:
        sock.close()
    time.sleep(0.5)
    print(f"{limit + 50} connections: closed {closed}, first still "
          f"{describe(answer)}; afterwards {exchange(request(ident='ma'))}")


if sys.argv[5] == "unparsed":
    cases_unparsed()
else:
    cases_of_framing()
    cases_of_targets()
    cases_of_limits()
    cases_of_timing()
    case_of_error()
    slow_reading()
    many_connections(10000)
leaks = sum(KEY.split("_")[-1] in json.dumps(r) or bool(r.get("marker"))
            for r in read_records())
print(f"records with a key: {leaks}")
