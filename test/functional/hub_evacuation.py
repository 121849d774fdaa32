"""A data centre is evacuated through tmctl while callers send requests through two
gates. All hubs and a gate are killed meanwhile. Prints whether requests reach its
targets."""
import json
import os
import random
import re
import signal
import subprocess
import sys
import threading
import time

from platform_fleet import Fleet, TargetProcess, call

BUILD, WORK = sys.argv[1], sys.argv[2]
NET = f"127.{random.randrange(160, 200)}.{random.randrange(1, 250)}"
HUBS = 3
GATES = 2
CALLER_INTERVAL_S = 0.04
EVACUATE_S = 5  # of the platform: from the acknowledgement to the effect
WATCH_S = 2
LONG_WORK_S = 3
ORDERS = 450  # more than the entries after which the log is compacted

fleet = Fleet(BUILD, WORK, [f"{NET}.{i + 1}" for i in range(HUBS)],
              [f"{NET}.{20 + i}" for i in range(GATES)])
servers = ",".join(f"{ip}:{fleet.control_port}" for ip in fleet.hubs)
stop = threading.Event()
answers = []  # (time, status)


def request(gate, name):
    return call(fleet.gates[gate], fleet.front, "POST", "/x/1", b"body",
                {"Host": "a.example", "Tarragonmoor-Attempt-Id": name,
                 "Tarragonmoor-Deadline-Ms": "5000", "Api-Key": "key-one"})


def send(gate):
    count = 0
    while not stop.is_set():
        count += 1
        try:
            status = request(gate, f"g{gate}-{count}")[0]
        except OSError:
            status = 0
        answers.append((time.monotonic(), status))
        time.sleep(CALLER_INTERVAL_S)


def tmctl(*words):
    """Runs a command on all hubs; prints what is the same in each run."""
    done = subprocess.run(
        [f"{BUILD}/bin/tmctl", "--server", servers, "evacuation", *words],
        capture_output=True, text=True, timeout=30, check=False)
    text = re.sub(r"\d{4}-\d\d-\d\dT\S+Z", "TIME", done.stdout + done.stderr)
    print("$ tmctl evacuation", *words)
    print(re.sub(r" +", " ", text.replace(NET, "NET")), end="")
    print("exit", done.returncode)


def order(path):
    return fleet.control("POST", f"/tarragonmoor/evacuate/{path}")[0]


def get_times(targets, since):
    return [x["t"] for target in targets for x in target.read_records()
            if x["t"] >= since]


def watch(what, targets):
    """Prints whether no request reaches the targets for a time, and others are
    served."""
    since = time.monotonic()
    time.sleep(WATCH_S)
    late = len(get_times(targets, since))
    seen = [status for at, status in answers if at >= since]
    print("to the targets:", late, "answers:", len(seen), "served:",
          seen.count(200), file=sys.stderr)
    print(what + ":", late == 0 and seen.count(200) >= 0.95 * len(seen) > 10)


def kill(names):
    for name in names:
        fleet.processes[name].send_signal(signal.SIGKILL)
    for name in names:
        fleet.processes[name].wait()


def restart_hubs():
    kill([f"hub{i}" for i in range(HUBS)])
    for i in range(HUBS):
        fleet.start_hub(i, False)


def refuse_whole_service():
    started = time.monotonic()
    status, body, headers = request(0, f"whole-{started}")
    return (status == 503 and time.monotonic() - started < 0.5 and
            json.loads(body)["error"] == "service_evacuated" and
            json.loads(body)["run"] == "no" and
            float(headers["Retry-After"]) >= 1)


def start_from_snapshot():
    """Each order is an entry of the log, so that many compact it."""
    print("many orders:", {order("dc3/end") for _ in range(ORDERS)})
    fleet.wait("the log is compacted", lambda: any(
        fleet.log_has(f"hub{i}", "the log is compacted")
        for i in range(HUBS)))
    restart_hubs()
    fleet.wait("hubs that start with ended evacuations lead",
               lambda: fleet.control("GET", "/v1/evacuations")[0] == 200)
    print("none has ended:", all(
        fleet.processes[f"hub{i}"].poll() is None for i in range(HUBS)))


def main():
    fleet.start_all(["key-one"])
    print("without the setting:", order("dc1/start"),
          fleet.control("GET", "/v1/evacuations")[0])
    fleet.hub_settings = {"evacuate_within_s": EVACUATE_S,
                          "data_centres": ["dc1", "dc2", "dc3"],
                          "warmup_overshoot": 1.5, "warmup_slack": 8}
    restart_hubs()
    leaving = [TargetProcess(fleet, f"t{i}", zone="dc1") for i in range(2)]
    staying = [TargetProcess(fleet, f"t{i}", zone="dc2") for i in range(2, 4)]
    for gate in range(GATES):
        fleet.wait(f"gate {gate} serves", lambda: request(
            gate, f"first-{time.monotonic()}")[0] == 200)
        threading.Thread(target=send, args=(gate,), daemon=True).start()
    started = time.monotonic()
    fleet.wait("all targets get requests", lambda: all(
        get_times([x], started) for x in leaving + staying))

    tmctl("list")
    tmctl("start", "dc4")
    # Requests that run at the start of the evacuation go on.
    for target in leaving:
        target.set_answer(work_s=LONG_WORK_S)
    time.sleep(0.5)
    tmctl("start", "dc1")
    acknowledged = time.monotonic()
    print("requests run there:",
          len(get_times(leaving, acknowledged - LONG_WORK_S / 2)) > 0)
    for target in leaving:
        target.set_answer()
    time.sleep(EVACUATE_S)
    late = get_times(leaving, acknowledged)
    print("last request after the acknowledgement by s:",
          max(late, default=acknowledged) - acknowledged, file=sys.stderr)
    print("no request was cut:", {status for _, status in answers} <= {200})
    watch("evacuated", leaving)
    print("sent again:", order("dc1/start"), order("dc3/end"))

    restart_hubs()
    kill(["gate1"])
    fleet.start_gate(1)
    fleet.wait("the gate is ready again", lambda: fleet.is_ready(1))
    fleet.wait("it serves", lambda: request(
        1, f"again-{time.monotonic()}")[0] == 200)
    watch("evacuated after kill -9 of all hubs and a gate", leaving)
    tmctl("list")

    print("two at once:", order("dc2/start"))
    time.sleep(1)
    print("the whole service is refused at once:", refuse_whole_service())
    print("ended:", order("dc2/end"))
    tmctl("end", "dc1")
    ended = time.monotonic()
    fleet.wait("all targets get requests again", lambda: all(
        get_times([x], ended) for x in leaving + staying))
    print("sent again:", order("dc1/end"))
    stop.set()
    start_from_snapshot()


try:
    main()
finally:
    fleet.kill_all()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(0)
