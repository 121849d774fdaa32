"""Sends SIGHUP to a hub and a gate that have just been started."""
import os
import signal
import sys
import time

from platform_fleet import Fleet

fleet = Fleet(sys.argv[1], sys.argv[2], ["127.0.2.1"], ["127.0.2.2"])


def check(name, event):
    """The signal is blocked until the program is ready for it, so that it does
    not arrive before main()."""
    fleet.processes[name].send_signal(signal.SIGHUP)
    end = time.monotonic() + 20
    while time.monotonic() < end and not fleet.log_has(name, event):
        time.sleep(0.05)
    print(name, "read its settings again:", fleet.log_has(name, event),
          "runs:", fleet.processes[name].poll() is None)


signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])
try:
    fleet.start_hub(0, True)
    check("hub0", '"event":922')
    fleet.start_gate(0)
    check("gate0", '"event":957')
finally:
    fleet.kill_all()
    sys.stdout.flush()
    os._exit(0)
