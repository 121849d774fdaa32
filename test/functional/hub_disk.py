"""Three hubs, whose disks are full one after the other while the configuration
changes. A hub that ends is started again, as a supervisor does."""
import json
import random
import signal
import sys
import threading
import time

from platform_fleet import WAIT_S, Fleet, document

BUILD, WORK = sys.argv[1], sys.argv[2]
NET = f"127.{random.randrange(120, 160)}.{random.randrange(1, 250)}"
FULL_S = 2
RESTART_S = 0.3
# Within this time a start that does not wait for the disk ends again.
AGAIN_S = 1
# Of the platform.
RECOVERY_S = 15

fleet = Fleet(BUILD, WORK, [f"{NET}.{i + 1}" for i in range(3)],
              [f"{NET}.20"], fills_disks=True)
ends = [0] * 3
stop = threading.Event()


def supervise():
    while not stop.is_set():
        for i in range(len(fleet.hubs)):
            if fleet.processes[f"hub{i}"].poll() is not None:
                ends[i] += 1
                time.sleep(RESTART_S)
                fleet.start_hub(i, False)
        time.sleep(0.05)


def put(version):
    return fleet.control("POST", "/tarragonmoor/config/put",
                         document(version, ["key-one"]))[0]


def read_version():
    status, answer = fleet.control("GET", "/tarragonmoor/config/get")
    return json.loads(answer)["Version"] if status == 200 else 0


try:
    for i in range(len(fleet.hubs)):
        fleet.start_hub(i, True)
    fleet.start_gate(0)
    print("first version:", put(7))
    # Not for the first time any more.
    for i in range(len(fleet.hubs)):
        fleet.processes[f"hub{i}"].kill()
        fleet.processes[f"hub{i}"].wait()
        fleet.start_hub(i, False)
    threading.Thread(target=supervise, daemon=True).start()
    print("after a restart:", put(8))
    for i in range(len(fleet.hubs)):
        fleet.set_full(f"hub{i}", True)
        end = time.monotonic() + FULL_S
        statuses = []
        version = 10 * (i + 1)
        while time.monotonic() < end or (
                not ends[i] and time.monotonic() < end + WAIT_S):
            version += 1
            statuses.append(put(version))
            time.sleep(0.1)
        print(f"changes while the disk of hub {i} is full:",
              set(statuses))
        time.sleep(AGAIN_S)
        print("ends meanwhile:", ends)
        fleet.set_full(f"hub{i}", False)
        fleet.wait(f"hub {i} runs", lambda i=i:
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
    fleet.set_full("hub0", True)
    fleet.start_hub(0, False)
    # Before main() SIGHUP ends any program.
    fleet.wait("a start on a full disk", lambda: fleet.has_logged("hub0"))
    fleet.processes["hub0"].send_signal(signal.SIGHUP)
    time.sleep(AGAIN_S)
    print("waits:", fleet.processes["hub0"].poll() is None)
    fleet.processes["hub0"].terminate()
    fleet.wait("and ends when asked to",
               lambda: fleet.processes["hub0"].poll() is not None)
finally:
    stop.set()
    time.sleep(0.5)
    fleet.kill_all()
