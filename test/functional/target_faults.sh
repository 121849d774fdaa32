# Failures guarded against: a fault that does not show on the wire, a request
# that ran without a line in the record, a cancelled request that keeps its
# slot, an announced key that goes unnoticed.
. test/functional/lib_tools.sh
export FLEET_TARGET_EXTRA='{"queue":1,"leave_notice_ms":200,
"record_arrivals":true,
"service_time":{"mean_ms":5}}'
scripts/fleet.sh start "$dir" control=0 entry=0 targets=1 slots=1 || exit 1
. "$dir/env"
url=http://$FLEET_TARGET_LISTEN
admin=http://$FLEET_TARGET_ADMIN

faults() {
	curl -s -o "$work/reply" -w "$1 -> %{http_code}\n" -X PUT -d "$1" \
	    "$admin/faults"
}
ask() {
	curl -s -o "$work/body" -w 'status %{http_code}' "$@"
	echo ", curl $?"
}
in_time() {
	[ "$1" -ge "$2" ] && [ "$1" -le "$3" ] && echo yes || echo "no: $1"
}
took_ms() {
	curl -s -o /dev/null -w '%{time_total}\n' "$@" |
	    awk '{ print int($1 * 1000) }'
}

echo "== no fault"
ask "$url/a" -H 'X-Request-Id: r1' -H 'X-Tm-Workspace: w1'
sed 's/"body_xxh64.*//' "$work/body"
echo
curl -s "$url/health"
curl -s "$url/load"
curl -si "$url/a" | tr -d '\r' | sed -n 's/^x-tm-load: //p'
for share in error truncate close wrong extra; do
	faults "{\"${share}_share\":1}"
	ask "$url/$share" -H 'X-Request-Id: r2'
done
echo "== stalls, 300 ms"
faults '{"stall_head_share":1,"stall_ms":300}'
in_time "$(took_ms "$url/stall")" 300 900
faults '{"stall_body_share":1,"stall_ms":300}'
in_time "$(took_ms "$url/stall")" 300 900
echo "== slow by 40, about 200 ms"
faults '{"slow_factor":40}'
in_time "$(took_ms "$url/slow")" 190 800
echo "== deadline of 100 ms, then an answer that ignores it"
ask "$url/deadline" -H 'X-Tm-Deadline-Ms: 100'
faults '{"late_share":1,"late_ms":200}'
in_time "$(took_ms "$url/late" -H 'X-Tm-Deadline-Ms: 100')" 300 900
echo "== false health and load"
faults '{"health":"bad","load":"idle"}'
ask "$url/health"
curl -s "$url/load"
echo "== malformed faults change nothing"
faults '{"slow_factor":"fast","speling":1}'
tr ',' '\n' <"$work/reply" | grep -c '"remedy"'
curl -s "$admin/faults" | grep -o '"health":"[a-z]*"'
faults '{}'
echo "== a caller that goes away frees the slot"
curl -s -m 0.1 "$url/cancel" -H 'X-Test-Service-Ms: 3000'
sleep 0.2
ask "$url/after"
echo "== one slot and a queue of one: the third is shed"
curl -s -o /dev/null "$url/q1" -H 'X-Test-Service-Ms: 500' &
sleep 0.1
curl -s -o /dev/null "$url/q2" &
sleep 0.1
curl -si "$url/q3" | tr -d '\r' | grep -iE '^(HTTP|x-tm-(shed|load))'
wait
echo "== a key in a header and in the URL"
ask "$url/key" -H 'X-Other: a tmk_1_secret'
ask "$url/key?tmk_1_secret"
echo "== crash on a marked request"
ask "$url/crash" -H 'X-Test-Crash: 1'
scripts/fleet.sh status "$dir"
scripts/fleet.sh run "$dir" s1-t1
sleep 0.3
echo "== SIGTERM finishes the running request"
curl -s -o /dev/null -w 'status %{http_code}\n' "$url/drain" \
    -H 'X-Test-Service-Ms: 800' &
sleep 0.1
scripts/fleet.sh signal "$dir" s1-t1 TERM
wait
sleep 0.2
scripts/fleet.sh status "$dir"
echo "== record"
python3 - "$dir/s1-t1.record" <<'PY'
import json
import sys

lines = [json.loads(line) for line in open(sys.argv[1])]
starts = [x for x in lines if x["phase"] == "start"]
ends = [x for x in lines if x["phase"] == "end"]
for x in ends:
    assert x["end_ms"] >= x["start_ms"] >= x["arrival_ms"] > 0
    print(x["path"], x["outcome"], x["status"], x["request_id"],
          x["workspace"], "key" if x["marker"] else "")
print("starts without end:", len(starts) - len(ends))
arrivals = [x["arrival_ms"] for x in lines if x["phase"] == "arrival"]
assert set(x["arrival_ms"] for x in starts) <= set(arrivals)
print("arrivals without start:", len(arrivals) - len(starts))
waited = [x["path"] for x in ends if x["start_ms"] - x["arrival_ms"] > 100]
print("waited for a slot:", *waited)
PY
