"""A target answers with status codes that HTTP does not have, on new and kept
connections. The gate must answer 502, use the connection no more, and count the
attempt as one with a wrong response."""
import json
import random
import sys
import time

from platform_fleet import Fleet, RawTarget, call, document

BUILD, WORK = sys.argv[1], sys.argv[2]
NET = f"127.{random.randrange(120, 160)}.{random.randrange(1, 250)}"
STATUSES = ["000", "099", "600", "1000", "-01", "+20", "2 0", "0", "2000",
            "20x"]
# As an attempt id has no space.
SPACE = "s"

fleet = Fleet(BUILD, WORK, [f"{NET}.1"], [f"{NET}.20"])
connections = {}  # attempts by connection, in their order


def reply(status, attempt):
    return (f"HTTP/1.1 {status} Status\r\nTarragonmoor-Attempt-Id: {attempt}\r\n"
            "Tarragonmoor-Server-Signature: sig\r\nContent-Length: 2\r\n\r\nok")


def write(conn, attempt):
    """Answers all requests of a connection by their ids: good-N, STATUS_N, and
    info_STATUS_N after an informational response."""
    attempts = connections.setdefault(conn, [])
    while attempt:
        attempts.append(attempt)
        status = attempt.removeprefix("info_").split("_")[0].replace(SPACE, " ")
        text = reply("200" if attempt.startswith("good") else status, attempt)
        if attempt.startswith("info_"):
            text = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + text
        conn.sendall(text.encode())
        head = b""
        while b"\r\n\r\n" not in head:
            part = conn.recv(65536)
            if not part:
                return
            head += part
        fields = dict(line.lower().split(": ", 1) for line in
                      head.decode("latin-1").split("\r\n")[1:] if line)
        attempt = fields.get("tarragonmoor-attempt-id")


def send(attempt):
    status, body, headers = call(
        fleet.gates[0], fleet.front, "GET", "/x/1", None, {
            "Host": "a.example", "Api-Key": "key-one",
            "Tarragonmoor-Attempt-Id": attempt})
    return status, headers.get("Tarragonmoor-Server-Signature"), body


def count_logged(*texts):
    with open(f"{WORK}/gate0.log", encoding="utf-8") as log:
        return sum(all(text in line for text in texts) for line in log)


def get_connection(attempt):
    return [x for x in connections.values() if attempt in x][0]


try:
    fleet.start_all(["key-one"])
    fleet.control("POST", "/tarragonmoor/config/put", document(8, ["key-one"]))
    RawTarget(fleet, "t1", "s1", write)
    fleet.wait("the gate is ready", lambda: fleet.is_ready(0))
    fleet.wait("served", lambda: send(f"good-{time.monotonic()}")[0] == 200)
    answers = set()
    ended = set()
    kept = set()
    for prefix in ("", "info_"):
        for status in STATUSES:
            # The second one follows a bad response, on a new connection.
            good = f"good-{prefix}{STATUSES.index(status)}"
            for i, before in enumerate([good, None]):
                if before:
                    assert send(before)[0] == 200
                attempt = f"{prefix}{status.replace(' ', SPACE)}_{i}"
                answer, signature, body = send(attempt)
                answers.add((answer, signature, b"target_failed" in body))
                attempts = get_connection(attempt)
                ended.add(attempts[-1] == attempt)
                kept.add((i, len(attempts) > 1))
    print("answers:", sorted(answers))
    print("on a kept connection, then on a new one:", sorted(kept))
    print("the connection is used no more:", ended)
    print("an attempt counts as one with a wrong response:",
          fleet.log_has("gate0", "attempt failed", '"wrong"'))
    # Not executed, as another target had the address.
    misdirected = []
    for prefix in ("", "info_"):
        before = count_logged('"other target"', '"status":421,')
        answer, signature, body = send(f"{prefix}421_0")
        after = count_logged('"other target"', '"status":421,')
        misdirected.append((answer, signature, json.loads(body)["error"],
                            after > before))
    print("421, also after an informational response:", misdirected)
    print("then served:", send("good-last")[0])
finally:
    fleet.kill_all()
