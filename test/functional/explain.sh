# Failures guarded against: a refused request whose reason is lost, an ejection
# without its evidence and time, a rate state that differs from what callers
# got, a dead VM that hides the others, explain that needs control.
. test/functional/lib_tools.sh
scripts/fleet.sh start "$dir" control=3 entry=3 dcs=3 services=1 targets=4 \
    workspaces=2 rate=5 burst=5 || exit 1
. "$dir/env"
export TMCTL_SERVERS=$(echo "$FLEET_ADMIN" | tr ' ' ,)
export TMCTL_TOKEN_FILE=$dir/token
set -- $FLEET_LISTEN
first=$1 second=$2
key=$(cat "$dir/key.w1")

ctl() {
	"$BUILD/bin/tmctl" "$@"
}
send() {
	curl -s -o /dev/null -w '%{http_code}\n' -H "X-Request-Id: $2" \
	    -H "Authorization: Bearer $3" "http://$1/s1/x"
}
# Times, targets and the VM that leads differ between runs.
stable() {
	sed 's/[0-9.]* ms/T ms/g; s/[0-9.]* s ago/T s ago/; s/s1-t[0-9]/s1-tN/
	    s/led by entry-[0-9]/led by entry-N/; s/ T ms more/ T ms more/'
}

echo "== requests: answered, unknown key, over the rate"
send "$first" ok-1 "$key"
ctl explain request ok-1 | stable
send "$second" bad/1+2 tmk_none_0
ctl explain request bad/1+2 | stable
# Several at a time: one after the other may take longer than the rate allows.
n=0
refused=
while [ $n -lt 200 ] && [ -z "$refused" ]; do
	for i in 1 2 3 4 5 6 7 8; do
		n=$((n + 1))
		send "$first" "rate-$n" "$key" >"$work/code-$n" &
	done
	wait
	refused=$(grep -lx 429 "$work"/code-* | head -n 1)
done
cat "${refused:-$work/code-$n}"
ctl explain request "rate-${refused##*/code-}" | stable
ctl explain request never-sent; echo "exit $?"

echo "== workspace"
ctl --json explain workspace w1 >"$work/workspace"
python3 - "$work/workspace" $((n + 1)) <<'PY'
import json
import sys
answer = json.load(open(sys.argv[1]))
rows = answer["found"]
print("entry VMs", len(rows), "answered", answer["answered"])
print("all requests counted",
      sum(r["requests"] for r in rows) == int(sys.argv[2]),
      "over the rate", sum(r["refused_rate"] for r in rows) > 0,
      "rate", {r["rate_per_s"] for r in rows},
      "leaders", len({r["leader"] for r in rows}))
buckets = [r["bucket"] for r in rows if "bucket" in r]
print("buckets", len(buckets), "within the burst",
      all(b["level"] + b["outstanding"] <= 5 for b in buckets))
PY

echo "== a slow target is ejected on the evidence of its responses"
ctl rate set w2 1000 500 >/dev/null 2>&1
set -- $FLEET_TARGET_ADMIN
curl -s -o /dev/null -X PUT -d '{"slow_factor": 40}' "http://$2/faults"
python3 - "$work/load.json" "$(cat "$dir/key.w2")" $FLEET_LISTEN <<'PY'
import json
import sys
json.dump({"entries": sys.argv[3:], "duration_ms": 6000, "seed": 1,
           "workspaces": [{"name": "w2", "key": sys.argv[2],
                           "rate_per_s": 150, "paths": [
                               {"path": "/s1/x", "weight": 1}]}]},
          open(sys.argv[1], "w"))
PY
"$BUILD/bin/tm-load" --settings "$work/load.json" >"$work/load.out" &
helper=$!
tries=100
until ctl --json explain target s1-t2 | grep -q '"state":"ejected"' ||
    [ $tries = 0 ]; do
	sleep 0.1
	tries=$((tries - 1))
done
sleep 1
ctl --json explain target s1-t2 >"$work/target"
python3 - "$work/target" <<'PY'
import json
import sys
rows = json.load(open(sys.argv[1]))["found"]
for row in rows:
    verdict = row["verdict"]
    print(row["entry_vm"], row["state"], "used", row["usable"],
          "evidence", verdict["evidence"],
          "over its limit", verdict["value"] >= verdict["limit"] > 0,
          "for less than 10 s", 0 <= row["state_age_ms"] < 10000)
PY
ctl --json status | python3 -c '
import json
import sys
status = json.load(sys.stdin)
for row in status["services"]:
    print(row["service"], "usable", row["usable"], "ejected", row["ejected"])
print("VMs", [(r["name"], r["state"]) for r in status["entry_vms"]])'
wait "$helper"
helper=

echo "== a VM is killed, control is down: the others answer"
scripts/fleet.sh signal "$dir" entry-3 KILL
ctl explain request ok-1 | stable
for name in $FLEET_CONTROLS; do
	scripts/fleet.sh signal "$dir" "$name" KILL
done
ctl --timeout-ms 500 explain request ok-1 2>/dev/null; echo "exit $?"
ctl --entry "$(echo "$FLEET_OPS" | tr ' ' ,)" explain request ok-1 |
    sed 's/^127[0-9.]*:[0-9]*/ADDRESS/' | stable
