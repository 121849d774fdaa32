# Failures guarded against: a count by status or run that is wrong, a response
# to another request that passes, latency that hides a stall of the target, a
# rate below the intended one, a wrong exit code.
. test/functional/lib_tools.sh
export FLEET_TARGET_EXTRA='{"slots":500,"queue":500,"connection_cap":2000,
"service_time":{"mean_ms":0}}'
scripts/fleet.sh start "$dir" control=0 entry=0 targets=2 || exit 1
. "$dir/env"
first=${FLEET_TARGET_LISTEN%% *}
admin=http://${FLEET_TARGET_ADMIN%% *}

faults() {
	echo "== faults $1"
	curl -s -o /dev/null -X PUT -d "$1" "$admin/faults"
}
run() {
	cat >"$work/load.json"
	"$BUILD/bin/tm-load" --json --settings "$work/load.json" >"$work/report.json"
	echo "exit $?"
}
# The settings for one workspace at 200/s for 1 s, with more fields in $1.
small() {
	run <<EOT
{"entries":["$first"],"duration_ms":1000,"timeout_ms":300,"seed":1,
 "record":"$work/record","workspaces":[
 {"name":"w1","key":"tmk_1_x","rate_per_s":200,"arrivals":"even"$1}]}
EOT
}
show() {
	python3 - "$work/report.json" "$1" <<'PY'
import json
import sys

w = json.load(open(sys.argv[1]))["workspaces"][0]
assert sum(w["by_status"].values()) + sum(w["errors"].values()) == w["done"]
assert sum(w["by_run"].values()) == w["done"] == w["offered"]
print({k: v for k, v in w.items() if k in sys.argv[2].split(",")})
PY
}

faults '{}'
small ''
show offered,ok,in_time,by_status,by_run,errors,mismatched
wc -l <"$work/record"
faults '{"error_share":1,"error_status":502}'
small ',"method":"POST","body_bytes":500,"request_ids":"repeated"'
show ok,by_status,by_run,mismatched
faults '{"truncate_share":1}'
small ''
show ok,by_run,errors
faults '{"close_share":1}'
small ',"method":"POST","request_ids":"none"'
show ok,by_run,errors
faults '{"wrong_share":1}'
small ''
show ok,mismatched
faults '{"extra_share":1}'
small ''
show ok,errors
faults '{"stall_head_share":1,"stall_ms":2000}'
small ''
show ok,by_run,errors
echo "== nobody listens"
sed "s/$first/127.0.0.1:1/" "$work/load.json" >"$work/none.json"
"$BUILD/bin/tm-load" --json --settings "$work/none.json" >"$work/report.json"
echo "exit $?"
show ok,by_run,errors
echo "== a frozen target counts from the intended send time"
faults '{}'
(
	sleep 0.4
	scripts/fleet.sh signal "$dir" s1-t1 STOP
	sleep 0.5
	scripts/fleet.sh signal "$dir" s1-t1 CONT
) &
run <<EOT
{"entries":["$first"],"duration_ms":2000,"workspaces":[
 {"name":"w1","rate_per_s":500,"arrivals":"even"}]}
EOT
wait
python3 - "$work/report.json" <<'PY'
import json
import sys

w = json.load(open(sys.argv[1]))["workspaces"][0]
slow = sum(n for edge, n in w["histogram_us"] if edge > 100000)
print("offered", w["offered"], "all ok", w["ok"] == w["offered"])
# 500/s for the 400 ms in which a request waits more than 100 ms.
print("about 200 of them waited:", 150 <= slow <= 300 or slow)
PY
echo "== two entries, two workspaces, idle connections, a burst"
run <<EOT
{"entries":["${first}","${FLEET_TARGET_LISTEN##* }"],"duration_ms":1000,
 "idle_connections":1000,"expect_ok_share":1,"workspaces":[
 {"name":"w1","rate_per_s":300,"arrivals":"even"},
 {"name":"w2","rate_per_s":100,"arrivals":"even",
  "burst":{"period_ms":500,"on_ms":100,"factor":10}}]}
EOT
python3 - "$work/report.json" <<'PY'
import json
import sys

r = json.load(open(sys.argv[1]))
print(r["idle_connections"])
for w in r["workspaces"]:
    print(w["name"], w["offered"] // 10 * 10, w["ok"] == w["offered"])
PY
echo "== the examples are valid"
for program in tm-load tm-target; do
	"$BUILD/bin/$program" --print-default >"$work/default.json"
	"$BUILD/bin/$program" --check --settings "$work/default.json"
	echo "$program: exit $?"
done
echo "== malformed settings"
echo '{"entries":["here"],"duration_ms":0,"speling":1,
"workspaces":[{"name":"-","rate_per_s":"many"}]}' >"$work/bad.json"
"$BUILD/bin/tm-load" --settings "$work/bad.json" 2>&1 | sed "s|$work/||"
"$BUILD/bin/tm-load" --settings "$work/bad.json" 2>"$work/err"
echo "exit $?"
