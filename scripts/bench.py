#!/usr/bin/env python3
"""Measures the fleet as processes on loopback.

Usage: bench.py BUILD [PART...]

Prints one "name value unit" line per figure and writes the same lines to
BUILD/bench.txt. Lines that start with # say how the figures came about.
"""
import os
import statistics
import subprocess
import sys
import time

from bench_lib import (Fleet, Load, TARGET_CAP, boot_ms, fetch, fit_line,
                       quantile)

DEPLOYMENTS = {"M": {"targets": "8,20,6", "slots": 6, "dcs": 3},
               "G": {"targets": "8,20,8", "slots": 4, "dcs": 4}}
QUANTILES = (("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999))
# A target that serves a share of the load gets a request far more often.
QUIET_MS = 900
# The longer window in which the decisions weigh evidence.
EVIDENCE_MS = 4000
FAULTS = {
    "slow_x5": {"slow_factor": 5},
    "slow_x20": {"slow_factor": 20},
    "errors_20": {"error_share": 0.2},
    "wrong_50": {"truncate_share": 0.5},
    "stall": {"stall_head_share": 0.5, "stall_ms": 3000},
    "flapping": {"slow_factor": 20, "flap_period_ms": 4000},
}
FAULT_MS = {"flapping": 3000}


class Output:
    def __init__(self, build):
        self.file = open(os.path.join(build, "bench.txt"), "w",
                         encoding="utf-8")

    def line(self, text):
        print(text, flush=True)
        self.file.write(text + "\n")
        self.file.flush()

    def put(self, name, value, unit):
        self.line(f"{name} {value:.6g} {unit}")

    def note(self, text):
        self.line("# " + text)


def make_workspaces(fleet, rates, services, **more):
    paths = [{"path": f"/s{s}/x", "weight": weight}
             for s, weight in services]
    return [{"name": name, "key": fleet.keys[name], "rate_per_s": rate,
             "paths": paths, **more} for name, rate in rates.items()]


def entries_of(fleet):
    return [vm["listen"] for vm in fleet.plan["entries"]]


def small_fleet(build, name):
    """Three entry VMs and one fast target: shows the entry VM's own cost."""
    return Fleet(build, name, ["control=3", "entry=3", "dcs=3", "services=1",
                               "targets=1", "workspaces=1", "rate=100000",
                               "burst=50000", "slots=400"],
                 {"FLEET_TARGET_EXTRA": {
                     "service_time": {"mean_ms": 1}, "queue": 1000,
                     "connection_cap": 4000, "record_starts": False}})


def run_load(build, fleet, name, entries, rate, seconds, **more):
    settings = {"entries": entries, "duration_ms": int(seconds * 1000),
                "warmup_ms": 1000, "max_connections": 2000,
                "workspaces": make_workspaces(fleet, {"w1": rate}, [(1, 1)]),
                **more}
    return Load(build, fleet.dir, name, settings).wait()


def latencies_us(load):
    return [r["latency_us"] for r in load.requests() if r["status"] == 200]


def put_own_latency(out, fleet):
    """Time in the entry VM by its own clock, without the target."""
    text = fetch(fleet.plan["entries"][0]["ops"], "/metrics")
    for line in text.splitlines():
        if line.startswith("tm_entry_added_latency_us{quantile"):
            name = float(line.split('"')[1]) * 100
            out.put(f"latency.in_entry.p{name:g}", int(line.split()[-1]),
                    "us")


def part_latency(build, out, rounds=5, rate=1000):
    out.note(f"processes: {rate} requests/s, {rounds} rounds of 4 s each way,"
             " alternating; 1 target, service time 1 ms")
    found = {"direct": [], "entry": []}
    with small_fleet(build, "latency") as fleet:
        ways = {"direct": [fleet.plan["targets"][0]["listen"]],
                "entry": entries_of(fleet)[:1]}
        for n in range(rounds):
            for way, entries in ways.items():
                load = run_load(build, fleet, f"{way}{n}", entries, rate, 4)
                values = latencies_us(load)
                found[way].append([quantile(values, q) for _, q in QUANTILES])
                lag = load.report.get("send_lag_us", {}).get("p99", 0)
        out.put("latency.generator_lag_p99", lag, "us")
        put_own_latency(out, fleet)
    for i, (name, _) in enumerate(QUANTILES):
        added = [e[i] - d[i]
                 for e, d in zip(found["entry"], found["direct"])]
        for way in ways:
            out.put(f"latency.{way}.{name}",
                    statistics.median(r[i] for r in found[way]), "us")
        out.put(f"latency.added.{name}", statistics.median(added), "us")
        out.put(f"latency.added.{name}.lowest_round", min(added), "us")
        out.put(f"latency.added.{name}.highest_round", max(added), "us")


def part_cpu(build, out, rates=(0, 500, 1000, 2000, 4000)):
    out.note("processes: processor time of entry-1 of 3 (each holds all 64 "
             "shards), 5 s per rate")
    points = []
    with small_fleet(build, "cpu") as fleet:
        for rate in rates:
            began, start = fleet.cpu_s(["entry-1"]), time.monotonic()
            if rate == 0:
                time.sleep(8)
            else:
                load = run_load(build, fleet, f"r{rate}",
                                entries_of(fleet)[:1], rate, 5)
                done = load.report["workspaces"][0]["done"]
                out.put(f"cpu.done_at_{rate}", done, "requests")
            used = fleet.cpu_s(["entry-1"]) - began
            wall = time.monotonic() - start
            if rate == 0:
                idle = used / wall
                out.put("cpu.idle_share", idle * 100, "%")
                continue
            # The load includes the warm-up of 1 s.
            points.append((rate * 6, used - idle * wall))
            out.put(f"cpu.seconds_at_{rate}", used, "s")
    _, slope = fit_line(points)
    out.put("cpu.per_request", slope * 1e6, "us")
    out.put("cpu.requests_per_core_second", 1 / slope, "1/s")


def part_memory(build, out, connections=10000):
    with small_fleet(build, "memory") as fleet:
        out.put("memory.idle", fleet.rss_mb("entry-1"), "MB")
        load = Load(build, fleet.dir, "idle", {
            "entries": entries_of(fleet)[:1], "duration_ms": 6000,
            "idle_connections": connections - 10, "max_connections": 10,
            "workspaces": []})
        highest = 0
        while load.process.poll() is None:
            highest = max(highest, fleet.rss_mb("entry-1"))
            time.sleep(0.2)
        load.wait()
        out.put(f"memory.with_{connections}_connections", highest, "MB")


def deployment(build, kind, name, entry=44, mode=None, **more):
    shape = DEPLOYMENTS[kind]
    extra = {"FLEET_TARGET_EXTRA": {
        "service_time": {"kind": "exponential", "mean_ms": 20},
        "connection_cap": TARGET_CAP[kind]}}
    if mode is not None:
        extra["FLEET_ENTRY_EXTRA"] = {"decision_mode": mode}
    extra.update(more)
    return Fleet(build, name, ["control=5", f"entry={entry}",
                               f"dcs={shape['dcs']}", "services=3",
                               f"targets={shape['targets']}", "workspaces=8",
                               "rate=2000", "burst=2000",
                               f"slots={shape['slots']}"], extra)


def service_weights(fleet):
    """Load of the services in proportion to their targets."""
    counts = {}
    for target in fleet.plan["targets"]:
        number = int(target["service"][1:])
        counts[number] = counts.get(number, 0) + 1
    return sorted(counts.items())


def capacity_per_s(kind):
    shape = DEPLOYMENTS[kind]
    slots = sum(int(n) for n in shape["targets"].split(",")) * shape["slots"]
    return slots / 0.02


def spread_load(build, fleet, name, kind, share, seconds, **more):
    rate = capacity_per_s(kind) * share / 8
    return Load(build, fleet.dir, name, {
        "entries": entries_of(fleet), "duration_ms": int(seconds * 1000),
        "warmup_ms": 1000, "max_connections": 4000,
        "workspaces": make_workspaces(
            fleet, {w: rate for w in fleet.plan["workspaces"]},
            service_weights(fleet)), **more})


def measure_use(fleet, seconds):
    """Per entry VM: processor share, bytes/s, messages/s; control share."""
    entries, controls = fleet.names("entries"), fleet.names("controls")
    cpu, control = fleet.cpu_s(entries), fleet.cpu_s(controls)
    size, count = fleet.peer_totals()
    start = time.monotonic()
    time.sleep(seconds)
    wall = time.monotonic() - start
    cpu, control = fleet.cpu_s(entries) - cpu, fleet.cpu_s(controls) - control
    size_after, count_after = fleet.peer_totals()
    scale = wall * len(entries)
    return {"entry_cpu": (cpu / scale * 100, "%"),
            "entry_sent": ((size_after - size) / scale, "B/s"),
            "entry_messages": ((count_after - count) / scale, "1/s"),
            "entry_memory": (statistics.mean(map(fleet.rss_mb, entries)),
                             "MB"),
            "control_cpu": (control / wall / len(controls) * 100, "%"),
            "control_memory": (max(map(fleet.rss_mb, controls)), "MB")}


def part_sizes(build, out, kind, sizes=(11, 22, 44)):
    out.note(f"processes: deployment {kind} at {sizes} entry VMs; with 44, "
             "about 86 processes share the processors of one machine, which "
             "lengthens latency, not processor time")
    points = {}
    for entry in sizes:
        with deployment(build, kind, f"sizes-{kind}", entry) as fleet:
            time.sleep(3)
            for state in ("idle", "load"):
                if state == "load":
                    load = spread_load(build, fleet, "load", kind, 0.2, 8)
                    time.sleep(2)
                found = measure_use(fleet, 6)
                for name, (value, unit) in found.items():
                    full = f"sizes.{kind}.{state}.{name}"
                    out.put(f"{full}.entry_{entry}", value, unit)
                    points.setdefault((full, unit), []).append((entry, value))
            load.wait()
            report_done(out, f"sizes.{kind}.load.entry_{entry}", load)
    # Work for shards and services is divided over the VMs.
    put_fit(out, {key: [(1 / n, value) for n, value in line]
                  for key, line in points.items()}, "share_of_one_vm")


def put_fit(out, points, x_name):
    for (full, unit), line in points.items():
        base, slope = fit_line(line)
        out.put(f"{full}.fit_base", base, unit)
        out.put(f"{full}.fit_slope_per_{x_name}", slope, unit)


def part_services(build, out, sizes=(1, 40, 160)):
    out.note(f"processes: 5 idle entry VMs with {sizes} services, no targets")
    points = {}
    for services in sizes:
        words = ["control=3", "entry=5", "dcs=3", f"services={services}",
                 "targets=0", "workspaces=1"]
        with Fleet(build, "services", words) as fleet:
            time.sleep(14)  # services without requests report less often
            for name, (value, unit) in measure_use(fleet, 6).items():
                out.put(f"services.{name}.services_{services}", value, unit)
                points.setdefault((f"services.{name}", unit), []).append(
                    (services, value))
    put_fit(out, points, "service")


def report_done(out, name, load):
    offered = sum(w["offered"] for w in load.report["workspaces"])
    good = sum(w["ok"] for w in load.report["workspaces"])
    out.put(f"{name}.answered", 100 * good / offered, "%")
    out.put(f"{name}.p99", quantile(latencies_us(load), 0.99), "us")


def first_quiet_ms(arrivals, fault_ms, until_ms):
    """Last arrival before the first gap of QUIET_MS; None without a gap."""
    last = fault_ms
    for at in [a for a in arrivals if fault_ms < a < until_ms] + [until_ms]:
        if at - last >= QUIET_MS:
            return last - fault_ms
        last = at
    return None


def put_false_verdicts(out, label, fleet, marks, since_ms, until_ms):
    """Ejections and avoidances of targets that had no fault. The evidence
    of a fault decays with 4 s; a target counts as faulty for that long."""
    faulty = {}
    for _, target, began, ended in marks:
        faulty.setdefault(target, []).append((began, ended + EVIDENCE_MS))
    hours = len(fleet.plan["targets"]) * (until_ms - since_ms) / 3600e3
    hours -= sum(e - b for spans in faulty.values()
                 for b, e in spans) / 3600e3
    for name, event in (("ejections", 601), ("avoidances", 610)):
        false = [e for e in fleet.events({event})
                 if since_ms < e["at_ms"] < until_ms and
                 not any(b <= e["at_ms"] <= u
                         for b, u in faulty.get(e["target"], []))]
        for e in false:
            out.note(f"false {name}: {e['node']} {e['target']} "
                     f"{e['evidence']} {e['value_percent']} of "
                     f"{e['limit_percent']} % at "
                     f"{(e['at_ms'] - since_ms) / 1000:.1f} s")
        out.put(f"{label}.false_{name}", len(false), "targets")
        out.put(f"{label}.false_{name}_per_target_hour", len(false) / hours,
                "1/h")
    out.put(f"{label}.target_hours_without_fault", hours, "h")


def part_detect(build, out, kind, mode=None, trials=2):
    label = f"detect.{kind}" + ("" if mode is None else "." + mode)
    out.note("processes: from the fault to the last arrival in the target's "
             f"record before a gap of {QUIET_MS} ms, without trial requests; "
             "one target of each service at a time, load 30 %")
    seconds = trials * len(FAULTS) * 6 + 8
    marks = []
    more = {"FLEET_TARGET_EXTRA": {
        "service_time": {"kind": "exponential", "mean_ms": 20},
        "connection_cap": TARGET_CAP[kind], "record_arrivals": True},
        "FLEET_ENTRY_EXTRA": {"log_level": "debug"}}
    if mode is not None:
        more["FLEET_ENTRY_EXTRA"]["decision_mode"] = mode
    with deployment(build, kind, "detect-" + kind, **more) as fleet:
        time.sleep(11)  # until cold starts are over
        began_ms = boot_ms()
        load = spread_load(build, fleet, "load", kind, 0.3, seconds)
        time.sleep(2)
        turn = 0
        for fault, body in FAULTS.items():
            for _ in range(trials):
                for service, count in service_weights(fleet):
                    target = f"s{service}-t{turn % count + 1}"
                    began = boot_ms()
                    fleet.set_faults(target, body)
                    marks.append((fault, target, began))
                time.sleep(FAULT_MS.get(fault, 4000) / 1000)
                ended = boot_ms()
                for _, target, _ in marks[-3:]:
                    fleet.set_faults(target, {})
                marks[-3:] = [(*m, ended) for m in marks[-3:]]
                turn += 1
                time.sleep(2)
        ended_ms = boot_ms()
        out.put(f"{label}.machine_load", os.getloadavg()[0], "processes")
        load.wait()
        requests = {(e["target"], e["request_id"])
                    for e in fleet.events({710})}
        found = {fault: [] for fault in FAULTS}
        for fault, target, began, ended in marks:
            quiet = first_quiet_ms(
                fleet.arrivals_ms(target, requests), began, ended)
            found[fault].append(quiet)
            out.note(f"{fault} {target} at {began:.0f}: "
                     + ("not detected" if quiet is None
                        else f"{quiet:.0f} ms"))
        put_false_verdicts(out, label, fleet, marks, began_ms, ended_ms)
        report_done(out, label, load)
        out.put(f"{label}.generator_lag_p99",
                load.report.get("send_lag_us", {}).get("p99", 0), "us")
    for fault, times in found.items():
        seen = [t for t in times if t is not None]
        out.put(f"{label}.{fault}.samples", len(times), "targets")
        out.put(f"{label}.{fault}.not_detected", len(times) - len(seen),
                "targets")
        if seen:
            out.put(f"{label}.{fault}.median", statistics.median(seen), "ms")
            out.put(f"{label}.{fault}.worst", max(seen), "ms")


def count_wrongful(requests, rate, burst):
    """Refusals of arrivals that a token bucket without delay admits."""
    level, last, wrongful = burst, None, 0
    for r in sorted(requests, key=lambda r: r["intended_ms"]):
        if last is not None:
            level = min(burst, level + (r["intended_ms"] - last) / 1000 * rate)
        last = r["intended_ms"]
        if level < 1:
            continue
        level -= 1
        wrongful += r["status"] in (429, 503)
    return wrongful


def part_refusals(build, out, kind, mode=None):
    label = f"refusals.{kind}" + ("" if mode is None else "." + mode)
    rate = 100
    out.note(f"processes: 8 workspaces at 90 % of {rate}/s, burst {rate}, "
             "30 s, over 44 entry VMs; wrongful: refused with 429 or 503, and "
             "a token bucket without delay admits the request")
    rates = {f"w{i}": [rate, rate] for i in range(1, 9)}
    with deployment(build, kind, "refusals-" + kind, mode=mode,
                    FLEET_RATES=rates) as fleet:
        time.sleep(11)
        load = Load(build, fleet.dir, "load", {
            "entries": entries_of(fleet), "duration_ms": 30000,
            "warmup_ms": 0, "max_connections": 4000,
            "workspaces": make_workspaces(
                fleet, {w: 0.9 * rate for w in rates},
                service_weights(fleet))}).wait()
        requests = load.requests()
        wrongful = sum(count_wrongful(
            [r for r in requests if r["workspace"] == w], rate, rate)
            for w in rates)
        out.put(f"{label}.offered", len(requests), "requests")
        out.put(f"{label}.wrongful", 100 * wrongful / len(requests), "%")
        report_done(out, label, load)


def part_fair(build, out, kind, mode=None):
    label = f"fair.{kind}" + ("" if mode is None else "." + mode)
    capacity = capacity_per_s(kind)
    weights = [4, 4, 1, 1, 1, 1, 1, 1]
    rates = {f"w{i + 1}": round(capacity * 0.3 * w / sum(weights))
             for i, w in enumerate(weights)}
    noisy = "w1"
    out.note("processes: w1 (a large workspace) sends 10 times its rate, the "
             "others 90 % of theirs, rates add up to 30 % of the slots, one "
             "target in four slow x5; ratio: answered within 1 s / offered, "
             "of w1: / its rate")
    with deployment(build, kind, "fair-" + kind, mode=mode,
                    FLEET_RATES={w: [r, r] for w, r in rates.items()}
                    ) as fleet:
        time.sleep(11)
        for service, count in service_weights(fleet):
            for i in range(max(1, count // 4)):
                fleet.set_faults(f"s{service}-t{i + 1}", {"slow_factor": 5})
        send = {w: r * (10 if w == noisy else 0.9) for w, r in rates.items()}
        load = Load(build, fleet.dir, "load", {
            "entries": entries_of(fleet), "duration_ms": 15000,
            "warmup_ms": 2000, "max_connections": 8000,
            "workspaces": make_workspaces(
                fleet, send, service_weights(fleet))}).wait()
        ratios = {}
        for w in load.report["workspaces"]:
            fair = (rates[noisy] * 15 if w["name"] == noisy
                    else w["offered"])
            ratios[w["name"]] = min(1, w["in_time"] / fair)
        lag = load.report.get("send_lag_us", {}).get("p99", 0)
    out.put(f"{label}.generator_lag_p99", lag, "us")
    out.put(f"{label}.worst_within_rate", min(
        r for w, r in ratios.items() if w != noisy), "ratio")
    out.put(f"{label}.noisy", ratios[noisy], "ratio")


def change_until_accepted(fleet, began, limit_s=15):
    """Seconds until control accepts a change."""
    servers = ",".join(c["admin"] for c in fleet.plan["controls"])
    command = [os.path.join(fleet.build, "bin", "tmctl"), "--server", servers,
               "--token-file", os.path.join(fleet.dir, "token"),
               "--timeout-ms", "500", "--json", "key", "issue", "w1"]
    while time.monotonic() - began < limit_s:
        if subprocess.run(command, stdout=subprocess.DEVNULL,
                          stderr=subprocess.DEVNULL, timeout=20,
                          check=False).returncode == 0:
            return time.monotonic() - began
        time.sleep(0.02)
    return float("nan")


def find_control_leader(fleet):
    servers = ",".join(c["admin"] for c in fleet.plan["controls"])
    text = subprocess.run(
        [os.path.join(fleet.build, "bin", "tmctl"), "--server", servers,
         "--token-file", os.path.join(fleet.dir, "token"), "--json",
         "status"], stdout=subprocess.PIPE, timeout=20,
        check=True).stdout.decode()
    return text.split('"leader":"', 1)[1].split('"', 1)[0]


def part_recover(build, out, kind):
    out.note("processes: SIGKILL under load at 20 %; recovered: the last "
             "request that another entry VM refused or answered after 1 s")
    label = f"recover.{kind}"
    with deployment(build, kind, "recover-" + kind) as fleet:
        time.sleep(11)
        load = spread_load(build, fleet, "load", kind, 0.2, 30)
        time.sleep(4)
        killed, killed_ms = 0, boot_ms()
        fleet.script("signal", fleet.names("entries")[killed], "KILL")
        time.sleep(12)
        leader = find_control_leader(fleet)
        leader_ms = boot_ms()
        fleet.script("signal", leader, "KILL")
        out.put(f"{label}.control_leader_killed.change_accepted_after",
                change_until_accepted(fleet, time.monotonic()) * 1000, "ms")
        load.wait()
        others = [r for r in load.requests() if r["entry"] != killed]
        for name, since, until in (
                ("entry_killed", killed_ms, leader_ms),
                ("control_leader_killed", leader_ms, float("inf"))):
            bad = [r["intended_ms"] - since for r in others
                   if since - 1000 < r["intended_ms"] < until and
                   (r["status"] != 200 or r["latency_us"] > 1000000)]
            out.put(f"{label}.{name}.bad_at_other_vms", len(bad), "requests")
            out.put(f"{label}.{name}.last_bad_after", max(bad, default=0),
                    "ms")


def part_virtual(build, out):
    out.note("virtual time: figures of the decision modules, not of "
             "processes")
    env = dict(os.environ, SERVICE_BENCH_TRIALS="2",
               SERVICE_BENCH_MINUTES="5")
    for suite in ("ServiceBench.*", "ShardsBench.*"):
        text = subprocess.run(
            [os.path.join(build, "bin", "tm-unit"),
             f"--gtest_filter={suite}"], env=env, stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT, timeout=400,
            check=False).stdout.decode()
        for line in text.splitlines():
            if line and line[0] not in "[N":
                out.note("virtual " + line.strip())


PARTS = {"latency": part_latency, "cpu": part_cpu, "memory": part_memory,
         "services": part_services}
for _kind in DEPLOYMENTS:
    for _name, _part in (("sizes", part_sizes), ("refusals", part_refusals),
                         ("detect", part_detect), ("fair", part_fair),
                         ("recover", part_recover)):
        PARTS[f"{_name}-{_kind}"] = (
            lambda b, o, p=_part, k=_kind: p(b, o, k))
        if _name in ("refusals", "detect", "fair"):
            PARTS[f"{_name}-{_kind}-baseline"] = (
                lambda b, o, p=_part, k=_kind: p(b, o, k, "baseline"))
PARTS["virtual"] = part_virtual


def main():
    build = os.path.abspath(sys.argv[1])
    names = sys.argv[2:] or list(PARTS)
    unknown = [n for n in names if n not in PARTS]
    if unknown:
        sys.exit(f"bench: found {', '.join(unknown)}; allowed: "
                 f"{', '.join(PARTS)}")
    out = Output(build)
    for name in names:
        PARTS[name](build, out)


main()
