"""Expectations of a scenario, and checks of the records of the targets."""
import glob
import json
import sys
import time
from collections import Counter

from fleet_callers import boot_ms, read_time_s

POLL_S = 0.05


class Checks:
    """Commands that print "ok" or "FAILED"."""

    def poll(self, seconds, test):
        deadline = time.monotonic() + seconds
        while not test():
            if time.monotonic() >= deadline:
                return False
            time.sleep(POLL_S)
        return True

    def report(self, good, detail=""):
        print("  ok" if good else f"  FAILED {detail}", flush=True)
        self.failed += not good

    def records(self):
        out = []
        for path in glob.glob(self.dir + "/*.record"):
            with open(path, encoding="utf-8") as file:
                for line in file:
                    if line.endswith("}\n"):
                        out.append(json.loads(line))
        return out

    def starts(self):
        return [r for r in self.records() if r["phase"] == "start"]

    def do_expect(self, what, *words):
        options = dict(w.split("=") for w in words if "=" in w)
        getattr(self, "expect_" + what)(
            *[w for w in words if "=" not in w], **options)

    def expect_answers(self, name, allowed, least=1):
        """Every answer is one of STATUS or STATUS/RUN; least=N of the first."""
        allowed = allowed.split(",")
        got = {}
        for answer in self.answers([name]):
            full = f"{answer.status}/{answer.run}"
            key = str(answer.status) if str(answer.status) in allowed else full
            got[key] = got.get(key, 0) + 1
        self.report(set(got) <= set(allowed)
                    and got.get(allowed[0], 0) >= int(least), got)

    def expect_change(self, name, allowed):
        self.do_wait(name)
        status, body = self.changes[name]
        self.report(str(status) in allowed.split(","), (status, body))

    def expect_rate(self, names, workspace, value, within="5s"):
        wanted = [int(value)]
        good = self.poll(read_time_s(within), lambda: set(self.known_rates(
            self.names(names), workspace)) == set(wanted))
        self.report(good, self.known_rates(self.names(names), workspace))

    def expect_status(self, vm, path, status, within="5s"):
        """Status of a GET on a control VM, without a redirect."""
        vm = self.names(vm)[0]
        self.report(self.poll(read_time_s(within), lambda: self.admin(
            vm, "GET", path, timeout=1)[0] == int(status)))

    def expect_recovery(self, vm, status, within="1s"):
        """Status of a dry run of a recovery."""
        vm = self.names(vm)[0]
        path = "/v1/recovery?dry_run=1"
        self.report(self.poll(read_time_s(within), lambda: self.admin(
            vm, "POST", path, "{}")[0] == int(status)))

    def expect_logged(self, vm, event, within="10s"):
        """A process logged an event."""
        def is_so():
            with open(f"{self.dir}/{vm}.log", encoding="utf-8") as file:
                return f'"event":{event},' in file.read()
        self.report(self.poll(read_time_s(within), is_so))

    def expect_one_of(self, *names):
        """Exactly one of several changes was accepted."""
        self.do_wait(*names)
        got = [self.changes[n][0] for n in names]
        self.report(got.count(200) == 1, got)

    def expect_same(self, one, other):
        """Two sendings of a change got the same answer."""
        self.do_wait(one, other)
        self.report(self.changes[one] == self.changes[other],
                    (self.changes[one], self.changes[other]))

    def expect_ready(self, names, state, within="15s"):
        def is_so():
            return all(self.get(n, "/readyz").get("state") == state
                       for n in self.names(names))
        self.report(self.poll(read_time_s(within), is_so))

    def expect_holds(self, names, least, within="60s"):
        """Each VM is a ready holder of this many shards."""
        def is_so():
            return all(self.get(n, "/status").get("groups", {})
                       .get("ready_for", 0) >= int(least)
                       for n in self.names(names))
        self.report(self.poll(read_time_s(within), is_so))

    def expect_voters(self, count, within="30s"):
        """So many control VMs vote, and each has all that the leader has.

        A VM that has just started says that it votes before it has contact to
        the others; a majority that needs it cannot accept a change yet.
        """
        def is_so():
            voters = [v for v in (self.admin(c, "GET", "/v1/status",
                                             timeout=1)[1]
                                  for c in self.controls) if v.get("voter")]
            return (len(voters) == int(count)
                    and any(v["ready"] for v in voters)
                    and len({v["commit"] for v in voters}) == 1)
        self.report(self.poll(read_time_s(within), is_so))

    def expect_gone(self, names, within="20s"):
        self.report(self.poll(read_time_s(within), lambda: not any(
            self.is_running(n) for n in self.names(names))))

    def expect_runs(self, names, least, within="10s"):
        """Targets ran at least so many requests since this line."""
        since, names = boot_ms(), self.names(names)
        self.report(self.poll(read_time_s(within), lambda: sum(
            r["target"] in names and r["start_ms"] >= since
            for r in self.starts()) >= int(least)))

    # Checks against the records of the targets

    def do_check(self, what, *words):
        options = dict(w.split("=") for w in words if "=" in w)
        words = [w for w in words if "=" not in w]
        good, detail = getattr(self, "check_" + what.replace("-", "_"))(
            *words, **options)
        print(f"check {what} {' '.join(words)}: {detail}", file=sys.stderr)
        self.report(good, detail)

    def check_once(self, least=1):
        """No id ran twice."""
        runs = {}
        for r in self.starts():
            key = (r["workspace"], r["request_id"])
            runs[key] = runs.get(key, 0) + 1
        twice = [k for k, n in runs.items() if n > 1]
        return (not twice and len(runs) >= int(least),
                f"{len(twice)} of {len(runs)} ids ran twice")

    def check_rate(self, workspace, rate, burst, least=1):
        """Runs in each window are at most burst + rate x window."""
        # A start is a whole number of ms, so a window may be 1 ms longer.
        per_ms = float(rate) / 1000
        times = sorted(r["start_ms"] for r in self.starts()
                       if r["workspace"] == workspace)
        low, worst = 0.0, 0.0
        for i, t in enumerate(times):
            low = min(low, i - per_ms * (t - times[0])) if i else 0.0
            worst = max(worst, i + 1 - per_ms * (t - times[0] + 1) - low)
        return (worst <= float(burst) and len(times) >= int(least),
                f"{len(times)} runs, {worst:.1f} above the rate, "
                f"burst {burst}")

    def check_key(self, least=1):
        """No target saw a key."""
        records = self.records()
        seen = sum(bool(r["marker"]) for r in records)
        return (seen == 0 and len(records) >= int(least),
                f"{seen} of {len(records)} lines")

    def check_withdrawn(self, workspace, within="5s"):
        """No run of a workspace starts later than this after withdrawal."""
        last = self.marks["withdrawn " + workspace] \
            + read_time_s(within) * 1000
        late = [r for r in self.starts()
                if r["workspace"] == workspace and r["start_ms"] > last]
        ran = any(r["workspace"] == workspace for r in self.starts())
        return ran and not late, f"{len(late)} runs"

    def check_answers(self, least=1):
        """Each complete answer belongs to its request."""
        done = [a for a in self.answers() if a.status == 200]
        wrong = sum(not a.right for a in done)
        return (wrong == 0 and len(done) >= int(least),
                f"{wrong} of {len(done)} wrong")

    def check_not_run(self, least=1):
        """No request that was answered with run "no" is in a record."""
        ran = {(r["workspace"], r["request_id"]) for r in self.starts()}
        sent = {}
        for answer in self.answers():
            key = (answer.workspace, answer.id)
            sent.setdefault(key, []).append(answer)
        said_no = [k for k, list_ in sent.items()
                   if all(a.run == "no" for a in list_)]
        false = [k for k in said_no if k in ran]
        return (not false and len(said_no) >= int(least),
                f"{len(false)} of {len(said_no)} ran")

    def check_leave(self, target, within="2s"):
        """No run starts at a target later than this after its SIGTERM."""
        began = self.marks[target]
        last = began + read_time_s(within) * 1000
        runs = [r for r in self.starts() if r["target"] == target]
        before = {r["incarnation"] for r in runs if r["start_ms"] < began}
        late = [r for r in runs
                if r["incarnation"] in before and r["start_ms"] > last]
        return before and not late, f"{len(late)} runs"

    def check_newest(self, target, within):
        """Only the newest incarnation runs requests after this time."""
        last = self.marks[target] + read_time_s(within) * 1000
        runs = [r["incarnation"] for r in self.starts()
                if r["target"] == target and r["start_ms"] > last]
        newest = max(r["incarnation"] for r in self.starts()
                     if r["target"] == target)
        old = sum(i != newest for i in runs)
        return runs and old == 0, f"{old} of {len(runs)} at an older one"

    def check_uncut(self, *names, least=1):
        """Each request got a complete answer, none was refused."""
        answers = self.answers(names)
        bad = [a for a in answers if a.status != 200 and not (
            a.error and a.run == "no")]
        return (not bad and len(answers) >= int(least), [
            (a.id, a.vm, a.status, a.run, a.error) for a in bad[:5]])

    def check_served(self, name, share, last="0s"):
        """Share of 200 among the answers (of the last part of the run)."""
        since = boot_ms() - read_time_s(last) * 1000 if last != "0s" else 0
        answers = [a for a in self.answers([name]) if a.sent_ms >= since]
        good = sum(a.status == 200 for a in answers)
        return (answers and good >= float(share) * len(answers),
                f"{good} of {len(answers)}")

    def check_crashes(self, path, most):
        """Requests of a path crashed at least 1, at most so many targets."""
        count = sum(r["path"] == path and r.get("outcome") == "crashed"
                    for r in self.records())
        return 1 <= count <= int(most), f"{count} crashes"

    def check_reverted(self, workspace, least=1):
        """The rates that watch saw only rise."""
        bad = [vm for (vm, w), values in self.seen.items()
               if w == workspace and values != sorted(values)]
        count = sum(len(v) for v in self.seen.values())
        return not bad and count >= int(least), bad

    def check_used(self, service, count, least=4):
        """In each 2 s, a second apart, targets run at least some requests."""
        runs = [(r["start_ms"], r["target"]) for r in self.starts()
                if r["target"].startswith(service + "-")]
        begin = min(runs)[0] + 1000
        seconds = {}
        for at, target in runs:
            seconds.setdefault((at - begin) // 1000, Counter())[target] += 1
        # The first and the last second may lack requests. Two targets that
        # change places within a second both run few requests in it.
        windows = [seconds.get(i, Counter()) + seconds.get(i + 1, Counter())
                   for i in range((max(runs)[0] - begin) // 1000 - 2)]
        used = [sum(n >= int(least) for n in w.values()) for w in windows]
        low = [f"{i} s: {dict(sorted(w.items()))}"
               for i, w in enumerate(windows) if used[i] < int(count)]
        return (used and min(used) >= int(count),
                f"per 2 s: {used} {'; '.join(low)}")

    def check_floor(self, service, least, names="entry-*"):
        """Each VM uses at least so many targets of a service."""
        low = []
        for vm in self.names(names):
            for s in self.get(vm, "/status").get("services", []):
                usable = sum(t["usable"] for t in s["targets"])
                if s["service"] == service and usable < int(least):
                    low.append((vm, usable))
        return not low, low
