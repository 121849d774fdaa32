"""Asks a gate through tmctl where requests would go, and compares that with where
they go: before there is a configuration, without targets, with two, and with all
of them evacuated."""
import json
import os
import random
import re
import subprocess
import sys
import threading
import time

from platform_fleet import Fleet, TargetProcess, call, document

BUILD, WORK = sys.argv[1], sys.argv[2]
NET = f"127.{random.randrange(200, 240)}.{random.randrange(1, 250)}"
KEY = "key-of-w1-4711"
ASKED = 50  # explanations that must leave the metrics as they are

fleet = Fleet(BUILD, WORK, [f"{NET}.{i + 1}" for i in range(3)],
              [f"{NET}.20"])
fleet.hub_settings = {"evacuate_within_s": 5, "data_centres": ["z1", "z2"]}
server = f"{fleet.gates[0]}:{fleet.metrics}"
stop = threading.Event()
key_file = f"{WORK}/key"


def tmctl(*words, path="/x/1", key=key_file):
    command = [f"{BUILD}/bin/tmctl", "--server", server, "explain", "route",
               "--host", "a.example", "--path", path, "--method", "POST",
               "--bytes", "4", *words]
    if key:
        command += ["--key-file", key]
    time.sleep(0.06)  # a gate answers 20 calls in a second
    return subprocess.run(command, capture_output=True, text=True, timeout=30,
                          check=False)


def show(what, done):
    """Prints an answer without its changing numbers and the load of targets."""
    text = re.sub(r"term \d+ and sequence \d+|\d+ ms ago|t\d-\d+",
                  "SOME", done.stdout + done.stderr)
    text = re.sub(r", expected cost \d+ ms", "", text)
    print(f"== {what}")
    print("\n".join(re.sub(" +", " ", line) for line in text.split("\n")
                    if "healthy" not in line), end="")
    print("exit", done.returncode)


def explain(**options):
    return json.loads(tmctl("--json", **options).stdout)["services"][0]


def request(name):
    return call(fleet.gates[0], fleet.front, "POST", "/x/1", b"body",
                {"Host": "a.example", "Tarragonmoor-Attempt-Id": name,
                 "Tarragonmoor-Deadline-Ms": "2000", "Api-Key": KEY})


def explain_chosen(**options):
    """An explanation with a choice of the gate; the leader may be asked for
    single requests."""
    for _ in range(ASKED):
        done = tmctl(**options)
        if "most likely" in done.stdout:
            break
    return done


def read_metrics():
    text = call(fleet.gates[0], fleet.metrics, "GET", "/metrics")[1].decode()
    return [line for line in text.split("\n")
            if not line.startswith("#") and "log_dropped" not in line]


def send():
    """Requests keep all targets in use: the leader is asked for those that are
    idle."""
    while not stop.is_set():
        try:
            request(f"s{time.monotonic()}")
        except OSError:
            pass
        time.sleep(0.03)


def has_confirmed_rates():
    return not json.loads(tmctl("--json").stdout)["workspace"][
        "near_rate_limit"]


def has_targets(count):
    return explain()["targets"]["usable"] == count


def show_wrong_calls():
    """Calls that reach no gate, or are refused before they are sent."""
    for words in (["--path", "/x/1"], ["--host", "a", "--path", "x"],
                  ["--host", "a", "--path", "/", "--bytes", "-1"],
                  ["--host", "a", "--path", "/", "--server", "127.0.0.1:1"],
                  ["--host", "a", "--path", "/", "--key-file", WORK]):
        done = subprocess.run(
            [f"{BUILD}/bin/tmctl", "--server", server, "explain", "route",
             *words], capture_output=True, text=True, timeout=30, check=False)
        print("exit", done.returncode,
              done.stderr.replace(WORK, "WORK").strip())
    done = subprocess.run(
        [f"{BUILD}/bin/tmctl", "--server", "127.0.0.1:1", "--timeout-ms", "300",
         "explain", "route", "--host", "a", "--path", "/"],
        capture_output=True, text=True, timeout=30, check=False)
    print("no gate: exit", done.returncode)


def main():
    with open(key_file, "w", encoding="utf-8") as out:
        out.write(KEY + "\n")
    with open(f"{WORK}/other", "w", encoding="utf-8") as out:
        out.write("another-key\n")
    for i in range(3):
        fleet.start_hub(i, True)
    fleet.start_gate(0)
    fleet.wait("the gate listens", read_metrics)
    show_wrong_calls()
    show("no configuration", tmctl())
    fleet.control("POST", "/tarragonmoor/config/put", document(7, [KEY]))
    fleet.wait("configured", lambda: tmctl().returncode == 0)
    show("no route", tmctl(path="/y"))
    fleet.wait("rates", has_confirmed_rates)
    show("no target", tmctl())
    targets = [TargetProcess(fleet, "t0", zone="z1"),
               TargetProcess(fleet, "t1", zone="z2")]
    fleet.wait("two targets", lambda: has_targets(2))
    fleet.wait("served", lambda: request(f"r{time.monotonic()}")[0] == 200)
    sender = threading.Thread(target=send, daemon=True)
    sender.start()
    fleet.wait("the gate chooses", lambda: explain()["target"] != "")
    show("two targets", explain_chosen())
    known = {target.id for target in targets}
    print("candidates:",
          {x["target"] for x in explain()["candidates"]} == known)
    show("unknown key", explain_chosen(key=f"{WORK}/other"))
    show("open route without a key", explain_chosen(
        path="/open/1", key=None))

    stop.set()
    sender.join()
    before = read_metrics()
    for _ in range(ASKED):
        explain()
    print("metrics stay:", before == read_metrics())

    # Uploads need the choice by cost and speed among a part of the targets.
    fleet.control("POST", "/tarragonmoor/config/put",
                  document(8, [KEY], Kind="upload"))
    fleet.wait("a part is preferred", lambda: explain()["prefers_part"])
    print("of it:", explain()["candidates_total"])

    fleet.control("POST", "/tarragonmoor/evacuate/z1/start")
    fleet.wait("one left", lambda: has_targets(1))
    print("candidates:", [x["target"] for x in explain()["candidates"]] == [
        targets[1].id])
    since = time.monotonic()
    statuses = {request(f"left{i}")[0] for i in range(20)}
    print("used:", statuses, [any(x["t"] >= since for x in
                                  target.read_records()) for target in targets])
    fleet.control("POST", "/tarragonmoor/evacuate/z2/start")
    fleet.wait("none left", lambda: has_targets(0))
    show("evacuated", tmctl())
    print("refused:", json.loads(request("none")[1])["error"])
    print("method:", call(fleet.gates[0], fleet.metrics, "POST",
                          "/v1/explain")[0])
    print("long path:", call(fleet.gates[0], fleet.metrics, "GET",
                             "/v1/explain?host=a&path=/" + "x" * 1100)[0])
    print("many calls:", 429 in [call(
        fleet.gates[0], fleet.metrics, "GET",
        "/v1/explain?host=a.example&path=/x/1")[0] for _ in range(60)])
    with open(f"{WORK}/gate0.log", encoding="utf-8") as log:
        print("key in the log:", KEY in log.read())


try:
    main()
finally:
    fleet.kill_all()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(0)
