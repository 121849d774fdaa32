"""A gate is paused (SIGSTOP) while responses arrive; then deadlines, or the time of
the last answers of a stop, pass before it goes on."""
import random
import signal
import sys
import threading
import time

from platform_fleet import WAIT_S, Fleet, RawTarget, call, document

BUILD, WORK = sys.argv[1], sys.argv[2]
NET = f"127.{random.randrange(120, 160)}.{random.randrange(1, 250)}"
CALLERS = 8  # of each kind
TIMEOUT_S = 14
SHORT_S = 3  # the other deadline
PAST_S = 0.3
WARM_UP = 20  # requests at once, so that the gate knows the latency
WARM_WORK_S = 0.6
# A round counts if the gate was paused this soon: 2.5 times the latency is a stall,
# and at the stop the last answers are due 5.7 s after the signal.
PAUSE_WITHIN_S = 1.2
ROUNDS_MAX = 6
STOP_WITHIN_S = 6

fleet = Fleet(BUILD, WORK, [f"{NET}.1"], [f"{NET}.20"])
answers = threading.Event()
lock = threading.Lock()
taken = set()
sent = set()


def write(conn, attempt):
    if attempt.startswith("warm"):
        time.sleep(WARM_WORK_S)
    else:
        with lock:
            taken.add(attempt)
        answers.wait(WAIT_S)
    # RawTarget closes the connection after the response.
    conn.sendall((f"HTTP/1.1 200 OK\r\nTarragonmoor-Attempt-Id: {attempt}\r\n"
                  "Tarragonmoor-Server-Signature: sig\r\nConnection: close\r\n"
                  "Content-Length: 2\r\n\r\nok").encode())
    with lock:
        sent.add(attempt)


class Caller(threading.Thread):
    def __init__(self, name, deadline_s):
        super().__init__(daemon=True)
        self.id = name
        self.deadline_s = deadline_s
        self.status = "none"

    def run(self):
        try:
            self.status = call(
                fleet.gates[0], fleet.front, "GET", "/open/1", None,
                {"Host": "a.example", "Tarragonmoor-Attempt-Id": self.id,
                 "Tarragonmoor-Deadline-Ms": str(self.deadline_s * 1000)},
                timeout=2 * TIMEOUT_S)[0]
        except OSError as error:
            self.status = type(error).__name__


def start(name, deadline_s, count=CALLERS):
    callers = [Caller(f"{name}-{i}", deadline_s) for i in range(count)]
    for caller in callers:
        caller.start()
    return callers


def finish(what, callers):
    """The number of callers that were served."""
    for caller in callers:
        caller.join(WAIT_S)
    wrong = [(x.id, x.status) for x in callers if x.status != 200]
    if wrong:
        print(what, wrong, file=sys.stderr)
    return len(callers) - len(wrong)


def wait_for_all(callers, seen):
    end = time.monotonic() + WAIT_S
    while time.monotonic() < end and not all(x.id in seen for x in callers):
        time.sleep(0.005)


def is_served():
    caller = Caller(f"warm-{time.monotonic_ns()}", TIMEOUT_S)
    caller.run()
    return caller.status == 200


def pause_until(process, callers, begin_s, end_s):
    """Pauses the gate while the responses of the callers arrive. Returns whether
    it was paused soon."""
    process.send_signal(signal.SIGSTOP)
    is_soon = time.monotonic() - begin_s < PAUSE_WITHIN_S
    answers.set()
    wait_for_all(callers, sent)
    time.sleep(max(end_s - time.monotonic(), 0) + PAST_S)
    process.send_signal(signal.SIGCONT)
    return is_soon


def run_deadlines(number):
    """Returns whether the round counts."""
    answers.clear()
    begin_s = time.monotonic()
    short = start(f"short{number}", SHORT_S)
    long = start(f"long{number}", TIMEOUT_S)
    wait_for_all(short + long, taken)
    is_soon = pause_until(fleet.processes["gate0"], short + long, begin_s,
                          time.monotonic() + SHORT_S)
    counts = finish("short", short), finish("long", long)
    if is_soon:
        print("short deadline: served:", counts[0])
        print("long deadline: served:", counts[1])
        print("a stall was reported:", any(
            fleet.log_has("gate0", '"stall"', x.id) for x in short + long))
    return is_soon


def run_stop():
    process = fleet.processes["gate0"]
    answers.clear()
    callers = start("stop", TIMEOUT_S)
    wait_for_all(callers, taken)
    begin_s = time.monotonic()
    process.send_signal(signal.SIGTERM)
    while not fleet.log_has("gate0", "stop requested"):
        time.sleep(0.005)
    time.sleep(PAST_S)  # its timers of the stop run now
    pause_until(process, callers, begin_s, begin_s + STOP_WITHIN_S)
    print("stop: served:", finish("stop", callers))
    print("the gate ends:", process.wait(WAIT_S) == 0)


try:
    fleet.start_all([])
    changed = document(8, [])
    changed["Routes"]["r2"]["TimeoutS"] = TIMEOUT_S
    changed["Tenants"]["w1"].update(RatePerS=0, Burst=0)
    fleet.control("POST", "/tarragonmoor/config/put", changed)
    RawTarget(fleet, "t1", "s1", write)
    fleet.wait("the gate is ready", lambda: fleet.is_ready(0))
    fleet.wait("served", is_served)
    finish("warm", start("warm", TIMEOUT_S, WARM_UP))
    print("deadlines: the gate was paused in time:",
          any(run_deadlines(i) for i in range(ROUNDS_MAX)))
    fleet.wait("the gate is ready", lambda: fleet.is_ready(0))
    fleet.wait("served", is_served)
    run_stop()
finally:
    fleet.kill_all()
