"""Three hubs, whose disks are full one after the other while the configuration
changes. A hub that ends is started again, as a supervisor does. The limit of the
size of files stands in for a full disk."""
import json
import random
import resource
import signal
import subprocess
import sys
import threading
import time

from platform_fleet import Fleet, document

BUILD, WORK = sys.argv[1], sys.argv[2]
NET = f"127.{random.randrange(120, 160)}.{random.randrange(1, 250)}"
FULL_S = 2
RESTART_S = 0.3
# Of the platform.
RECOVERY_S = 15

fleet = Fleet(BUILD, WORK, [f"{NET}.{i + 1}" for i in range(3)],
              [f"{NET}.20"])
full = set()
ends = [0] * 3
stop = threading.Event()


class Writes:
    """Starts processes that get an error instead of a signal for a write beyond
    the limit, with a pipe as log: the limit is for the data folder."""

    def __init__(self, command, **kwargs):
        log = kwargs.pop("stdout")
        self.name = log.name
        kwargs["stderr"] = subprocess.STDOUT
        self.process = subprocess.Popen(
            command, stdout=subprocess.PIPE, restore_signals=False, **kwargs)
        threading.Thread(target=self.copy, daemon=True).start()

    def copy(self):
        with open(self.name, "ab") as log:
            for line in self.process.stdout:
                log.write(line)
                log.flush()


def start(i):
    """As Fleet.start_hub(); the hub's disk is as full as before."""

    def limit_self():
        if i in full:
            resource.setrlimit(resource.RLIMIT_FSIZE,
                               (1, resource.RLIM_INFINITY))

    name = f"hub{i}"
    path = f"{WORK}/{name}.json"
    fleet.processes[name] = None
    with open(path, "rb"), open(f"{WORK}/{name}.log", "ab") as log:
        process = Writes([f"{BUILD}/bin/tm-hub", "--settings", path],
                         stdout=log, preexec_fn=limit_self).process
    fleet.processes[name] = process
    # It may have changed meanwhile.
    limit(i)


def limit(i):
    process = fleet.processes[f"hub{i}"]
    most = 1 if i in full else resource.RLIM_INFINITY
    try:
        resource.prlimit(process.pid, resource.RLIMIT_FSIZE,
                         (most, resource.RLIM_INFINITY))
    except ProcessLookupError:
        pass


def supervise():
    while not stop.is_set():
        for i in range(len(fleet.hubs)):
            process = fleet.processes[f"hub{i}"]
            if process is not None and process.poll() is not None:
                ends[i] += 1
                time.sleep(RESTART_S)
                start(i)
        time.sleep(0.05)


def put(version):
    return fleet.control("POST", "/tarragonmoor/config/put",
                         document(version, ["key-one"]))[0]


def read_version():
    status, answer = fleet.control("GET", "/tarragonmoor/config/get")
    return json.loads(answer)["Version"] if status == 200 else 0


signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
try:
    for i in range(len(fleet.hubs)):
        fleet.start_hub(i, True)
    fleet.start_gate(0)
    print("first version:", put(7))
    # Under the supervisor from here on, and not for the first time any more.
    for i in range(len(fleet.hubs)):
        fleet.processes[f"hub{i}"].kill()
        fleet.processes[f"hub{i}"].wait()
        with open(f"{WORK}/hub{i}.json", encoding="utf-8") as file:
            settings = json.load(file)
        settings["is_first_start"] = False
        with open(f"{WORK}/hub{i}.json", "w", encoding="utf-8") as file:
            json.dump(settings, file)
        start(i)
    threading.Thread(target=supervise, daemon=True).start()
    print("after a restart:", put(8))
    for i in range(len(fleet.hubs)):
        full.add(i)
        limit(i)
        end = time.monotonic() + FULL_S
        statuses = []
        version = 10 * (i + 1)
        while time.monotonic() < end:
            version += 1
            statuses.append(put(version))
            time.sleep(0.1)
        print(f"changes while the disk of hub {i} is full:",
              set(statuses))
        print("ends meanwhile:", ends)
        full.discard(i)
        limit(i)
        fleet.wait(f"hub {i} runs", lambda i=i:
                   fleet.processes[f"hub{i}"] is not None and
                   fleet.processes[f"hub{i}"].poll() is None)
        time.sleep(2)
    started = time.monotonic()
    print("a change after all:", put(99))
    print("within the time for recovery:",
          time.monotonic() - started < RECOVERY_S)
    print("read back:", read_version())
    print("the log tells why:", all(fleet.log_has(
        f"hub{i}", "the data folder failed") for i in range(3)))
    stop.set()
    time.sleep(RESTART_S + 0.1)
    fleet.processes["hub0"].kill()
    fleet.processes["hub0"].wait()
    full.add(0)
    start(0)
    time.sleep(1)
    fleet.processes["hub0"].send_signal(signal.SIGHUP)
    time.sleep(1)
    print("a start on a full disk waits:", fleet.processes["hub0"].poll() is
          None and fleet.log_has("hub0", "waiting for it"))
    fleet.processes["hub0"].terminate()
    fleet.wait("and ends when asked to",
               lambda: fleet.processes["hub0"].poll() is not None)
finally:
    stop.set()
    time.sleep(0.5)
    fleet.kill_all()
