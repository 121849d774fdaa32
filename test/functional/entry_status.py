"""A target responds with status lines that HTTP does not have, to tm-entry.

Usage: entry_status.py DIR HOST:PORT OPS KEY
A POST may not be repeated and goes out on a new connection; a GET uses a kept one
and may be repeated. Informational responses (1xx) precede some of the bad ones."""
import http.client
import json
import socket
import sys
import threading
import time

DIR, LISTEN, OPS, KEY = sys.argv[1:]
STATUSES = ["000", "099", "600", "1000", "-01", "+20", "2 0", "0", "2000",
            "20x", "101"]
SECRET = json.load(open(f"{DIR}/s1-t1.json", encoding="utf-8"))["target_secret"]
BODY = b"of the target"
paths = {}  # paths of requests by connection, in their order


def reply(path):
    """/good/N, /STATUS/N, or /info/STATUS/N"""
    parts = [x for x in path.split("/") if x and x != "s1"]
    status = "200" if parts[0] == "good" else parts[-2].replace("_", " ")
    text = (f"HTTP/1.1 {status} Status\r\nContent-Length: {len(BODY)}\r\n"
            "\r\n").encode() + BODY
    if parts[0] == "info":
        text = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + text
    return text


def serve(conn):
    seen = paths.setdefault(conn, [])
    file = conn.makefile("rb")
    while line := file.readline():
        length = 0
        while (header := file.readline().strip().lower()):
            if header.startswith(b"content-length:"):
                length = int(header.split(b":")[1])
        file.read(length)
        path = line.decode().split(" ")[1]
        seen.append(path)
        conn.sendall(reply(path))


def accept(listener):
    while True:
        threading.Thread(target=serve, args=listener.accept()[:1],
                         daemon=True).start()


def call(address, method, path, body=None, headers=None):
    conn = http.client.HTTPConnection(address, timeout=10)
    conn.request(method, path, body, headers or {})
    response = conn.getresponse()
    return response.status, response.read()


def announce(address):
    while True:
        call(OPS, "POST", "/v1/targets", json.dumps({
            "id": "raw", "incarnation": 1, "service": "s1", "address": address,
            "slots": 20, "connection_cap": 20, "data_centre": "dc1",
            "state": "serving"}), {"Authorization": "Bearer " + SECRET})
        time.sleep(1)


def is_alone():
    services = json.loads(call(OPS, "GET", "/status")[1])["services"]
    return [x["target"] for x in services[0]["targets"] if x["usable"]] == [
        "raw"]


def get_wrong():
    text = call(OPS, "GET", "/metrics")[1].decode()
    return sum(int(x.split()[-1]) for x in text.split("\n")
               if x.startswith("tm_entry_wrong_responses_total{"))


def send(method, path):
    return call(LISTEN, method, "/s1" + path, b"x" if method == "POST" else None,
                {"X-Api-Key": KEY})


def get_connections(path):
    return [x for x in paths.values() if path in x]


def wait(what, is_so):
    end = time.monotonic() + 20
    while not is_so() and time.monotonic() < end:
        time.sleep(0.05)
    print(what + ":", is_so())


def check(method):
    answers = set()
    ended = set()
    followed = set()
    counted = set()
    for prefix in ("", "/info"):
        for status in STATUSES:
            if method == "GET":  # leaves a connection for the next one
                assert send("GET", "/good/x")[0] == 200
            path = f"{prefix}/{status.replace(' ', '_')}/{method}"
            before = get_wrong()
            answer, body = send(method, path)
            answers.add((answer, BODY in body))
            used = get_connections("/s1" + path)
            counted.add(get_wrong() - before == len(used) > 0)
            ended.update(x.index("/s1" + path) == len(x) - 1 for x in used)
            followed.update(len(x) > 1 for x in used)
    print(method, "answers, with the target's body:", sorted(answers))
    print(method, "on connections in use before:", sorted(followed))
    print(method, "the connection is used no more:", ended)
    print(method, "each attempt counts as a wrong response:", counted)


server = socket.create_server((LISTEN.split(":")[0], 0), backlog=64)
threading.Thread(target=accept, args=(server,), daemon=True).start()
threading.Thread(target=announce, args=("%s:%d" % server.getsockname(),),
                 daemon=True).start()
wait("the target is alone", is_alone)
wait("served", lambda: send("GET", "/good/first") == (200, BODY))
check("POST")
check("GET")
wait("then served", lambda: send("GET", "/good/last") == (200, BODY))
