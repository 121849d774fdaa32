"""Starts fleets and loads for scripts/bench.py and reads what they record."""
import json
import os
import subprocess
import time
import urllib.request

HERE = os.path.dirname(os.path.abspath(__file__))
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
TARGET_CAP = {"M": 400, "G": 350}


def boot_ms():
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000


def fetch(address, path, method="GET", body=None):
    request = urllib.request.Request(
        f"http://{address}{path}", method=method,
        data=None if body is None else json.dumps(body).encode())
    with urllib.request.urlopen(request, timeout=5) as response:
        return response.read().decode()


class Fleet:
    """A fleet of plain processes on loopback; used as a context."""

    def __init__(self, build, name, words, extra=None):
        self.build = build
        self.dir = os.path.join(build, "bench", name)
        self.words = words
        self.env = dict(os.environ, BUILD=build, FLEET_WAIT_S="40")
        for key, value in (extra or {}).items():
            self.env[key] = json.dumps(value)

    def script(self, *words, check=True):
        subprocess.run(["sh", os.path.join(HERE, "fleet.sh"), words[0],
                        self.dir, *words[1:]], env=self.env, check=check,
                       timeout=180)

    def __enter__(self):
        os.makedirs(os.path.dirname(self.dir), exist_ok=True)
        for left in (2, 1, 0):
            try:
                self.script("start", *self.words)
                break
            except subprocess.CalledProcessError:
                # Another fleet on this machine may have taken a port.
                if left == 0:
                    raise
        with open(os.path.join(self.dir, "fleet.json"),
                  encoding="utf-8") as text:
            self.plan = json.load(text)
        self.keys = {}
        for name in self.plan["workspaces"]:
            with open(os.path.join(self.dir, "key." + name),
                      encoding="utf-8") as text:
                self.keys[name] = text.read().strip()
        return self

    def __exit__(self, *_):
        self.script("stop", check=False)

    def names(self, kind):
        return [vm["name"] for vm in self.plan[kind]]

    def pid(self, name):
        with open(os.path.join(self.dir, name + ".pid"),
                  encoding="utf-8") as text:
            return int(text.read().split()[0])

    def cpu_s(self, names):
        """Processor seconds that the processes have used so far."""
        total = 0
        for name in names:
            with open(f"/proc/{self.pid(name)}/stat",
                      encoding="utf-8") as text:
                fields = text.read().rsplit(")", 1)[1].split()
            total += int(fields[11]) + int(fields[12])
        return total / TICKS_PER_S

    def rss_mb(self, name):
        with open(f"/proc/{self.pid(name)}/status", encoding="utf-8") as text:
            for line in text:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
        return 0

    def peer_totals(self):
        """(bytes, messages) that all entry VMs sent to other VMs."""
        size = count = 0
        for vm in self.plan["entries"]:
            for line in fetch(vm["ops"], "/metrics").splitlines():
                if line.startswith("tm_peer_sent_bytes"):
                    size += int(line.split()[-1])
                elif line.startswith("tm_peer_sent_messages"):
                    count += int(line.split()[-1])
        return size, count

    def set_faults(self, target, faults):
        for t in self.plan["targets"]:
            if t["name"] == target:
                fetch(t["admin"], "/faults", "PUT", faults)

    def lines(self, name):
        """JSON lines of a file of the fleet; a line may be incomplete."""
        with open(os.path.join(self.dir, name), encoding="utf-8") as lines:
            return [json.loads(line) for line in lines
                    if line.endswith("}\n")]

    def events(self, numbers):
        """Log events of the entry VMs, with the boot time in at_ms."""
        offset = time.time() * 1000 - boot_ms()
        found = []
        for name in self.names("entries"):
            found += [{**e, "at_ms": e["ts_ms"] - offset}
                      for e in self.lines(name + ".log")
                      if e["event"] in numbers]
        return sorted(found, key=lambda e: e["at_ms"])

    def arrivals_ms(self, target, trials):
        """Arrivals at the target, but for those in trials, a set of
        (target, request id)."""
        return sorted(r["arrival_ms"] for r in self.lines(target + ".record")
                      if r["phase"] == "arrival" and
                      (target, r["request_id"]) not in trials)


class Load:
    """One run of tm-load with a record of each request."""

    def __init__(self, build, folder, name, settings):
        self.record = os.path.join(folder, name + ".requests")
        path = os.path.join(folder, name + ".load.json")
        settings = {"seed": 1, "drain_ms": 3000, "timeout_ms": 5000,
                    "record": self.record, **settings}
        with open(path, "w", encoding="utf-8") as out:
            json.dump(settings, out)
        self.limit_s = 30 + (settings["duration_ms"] +
                             settings.get("warmup_ms", 0)) / 1000
        self.process = subprocess.Popen(
            [os.path.join(build, "bin", "tm-load"), "--settings", path,
             "--json"], stdout=subprocess.PIPE)

    def wait(self):
        try:
            text, _ = self.process.communicate(timeout=self.limit_s)
        except subprocess.TimeoutExpired:
            self.process.kill()
            raise
        self.report = json.loads(text)
        return self

    def requests(self):
        with open(self.record, encoding="utf-8") as lines:
            return [json.loads(line) for line in lines]


def quantile(values, q):
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(q * len(ordered)))]


def fit_line(points):
    """Least squares. Returns (value at 0, slope)."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y - slope * mean_x, slope
