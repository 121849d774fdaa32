# A whole session with a small fleet: objects, keys, requests of each workspace
# with the refusals that callers can meet, explain, a withdrawn key, a changed
# rate, history and a graceful stop.
# Failures guarded against: a refusal with another status, word or statement on
# whether the request ran; a step of the operators' session that stops working.
. test/functional/lib_tools.sh
scripts/fleet.sh start "$dir" control=3 entry=3 dcs=3 services=2 targets=2 \
    workspaces=0 slots=2 || exit 1
. "$dir/env"
export TMCTL_SERVERS=$(echo "$FLEET_ADMIN" | tr ' ' ,)
export TMCTL_TOKEN_FILE=$dir/token
set -- $FLEET_LISTEN
first=$1 second=$2 third=$3

ctl() {
	"$BUILD/bin/tmctl" "$@" 2>/dev/null
}
# issue WORKSPACE ID: issues a key and keeps it
issue() {
	ctl --json --change-id "issue-$1" key issue "$1" >"$work/issued"
	sed -n 's/.*"key":"\([^"]*\)".*/\1/p' "$work/issued" >"$work/key.$1"
	sed -n 's/.*"id":"\([^"]*\)".*/\1/p' "$work/issued" >"$work/id.$1"
	grep -c '^tmk_[0-9a-f]*_[0-9a-f]\{64\}$' "$work/key.$1"
}
# call TEXT ADDRESS PATH [CURL ARGUMENTS]: status, run and error word
call() {
	text=$1 to=$2 path=$3
	shift 3
	: >"$work/head"
	: >"$work/body"
	code=$(curl -s -m 20 -o "$work/body" -D "$work/head" \
	    -w '%{http_code}' "$@" "http://$to$path")
	run=$(tr -d '\r' <"$work/head" | sed -n 's/^x-tm-run: //Ip')
	word=$(sed -n 's/^{"error":"\([a-z_]*\)".*/\1/p' "$work/body")
	retry=$(tr -d '\r' <"$work/head" | grep -ci '^retry-after: [1-9]')
	echo "$text: $code run=${run:--} ${word:--}$(
		[ "$retry" = 0 ] || echo ' retry-after')"
}
as() {
	echo "Authorization: Bearer $(cat "$work/key.$1")"
}
in_force() {
	for address in $FLEET_OPS; do
		curl -sf "http://$address/metrics" |
		    grep -q "^tm_entry_config_index $1\$" || return 1
	done
}
# settle: until all entry VMs have the newest configuration in force
settle() {
	version=$(ctl --json list profiles |
	    sed 's/.*"version":\([0-9]*\)}$/\1/')
	tries=100
	until in_force "$version" || [ $tries = 0 ]; do
		sleep 0.05
		tries=$((tries - 1))
	done
}

echo "== objects, first as a dry run"
cat >"$work/objects.json" <<'JSON'
{"profiles": [
  {"name": "ask", "ejection": "normal", "floor_percent": 100,
   "repeat": "allowed", "deadline_ms": 1500},
  {"name": "order", "ejection": "normal", "floor_percent": 100,
   "repeat": "forbidden", "deadline_ms": 1500}],
 "services": [{"name": "s1", "profile": "ask"},
  {"name": "s2", "profile": "order"}, {"name": "empty", "profile": "ask"}],
 "workspaces": [{"name": "harbour", "rate_per_s": 1000, "burst": 1000},
  {"name": "orchard", "rate_per_s": 1, "burst": 3}],
 "routes": [
  {"name": "ask", "path_prefix": "/ask", "service": "s1", "workspaces": "all"},
  {"name": "order", "path_prefix": "/order", "service": "s2",
   "workspaces": ["harbour"]},
  {"name": "none", "path_prefix": "/none", "service": "empty",
   "workspaces": "all"}]}
JSON
ctl --json --dry-run apply "$work/objects.json"
ctl --change-id objects-1 apply "$work/objects.json" | sed 's/[0-9]*$/N/'
echo '{"routes": [{"name": "r", "path_prefix": "x"}]}' >"$work/bad.json"
"$BUILD/bin/tmctl" --change-id bad-1 apply "$work/bad.json" 2>&1
echo "exit $?"

echo "== keys"
issue harbour
issue orchard
settle

echo "== requests"
for name in harbour orchard; do
	for address in $first $second $third; do
		call "$name" "$address" /ask/x -H "$(as $name)"
	done
done
call "the key in another header" "$first" /ask/x \
    -H "X-Api-Key: $(cat "$work/key.harbour")"

echo "== refusals"
call "no key" "$first" /ask/x
call "unknown key" "$first" /ask/x -H 'X-Api-Key: tmk_none_0'
call "two keys" "$first" /ask/x -H "$(as harbour)" \
    -H "X-Api-Key: $(cat "$work/key.orchard")"
call "key in the URL" "$first" "/ask/x?k=$(cat "$work/key.harbour")" \
    -H "$(as harbour)"
call "malformed id" "$first" /ask/x -H "$(as harbour)" -H 'X-Request-Id: a"b'
call "unknown route" "$first" /else -H "$(as harbour)"
call "workspace not allowed" "$first" /order/x -H "$(as orchard)"
call "service without targets" "$first" /none/x -H "$(as harbour)"
head -c 20000 /dev/zero | tr '\0' x >"$work/long"
call "long headers" "$first" /ask/x -H "$(as harbour)" \
    -H "X-Long: $(cat "$work/long")"
head -c 1100000 /dev/zero >"$work/big"
call "long body" "$first" /ask/x -H "$(as harbour)" -H 'Expect:' \
    --data-binary "@$work/big"
n=0
while [ $n -lt 200 ]; do
	n=$((n + 1))
	call "over the rate" "$second" /ask/x -H "$(as orchard)" \
	    -H "X-Request-Id: rate-$n" >"$work/line"
	grep -q ': 429' "$work/line" && break
done
cat "$work/line"
# Targets that stall beyond the deadline, so that the VM ends the request.
faults() {
	for address in $FLEET_TARGET_ADMIN; do
		curl -s -o /dev/null -X PUT -d "$1" "http://$address/faults"
	done
}
faults '{"stall_head_share": 1, "stall_ms": 4000}'
call "past the deadline" "$first" /ask/x -H "$(as harbour)" \
    -H 'X-Request-Id: late-1' -H 'X-Tm-Deadline-Ms: 500'
faults '{}'
call "within a short deadline" "$first" /ask/x -H "$(as harbour)" \
    -H 'X-Tm-Deadline-Ms: 700'

echo "== a request that may not be repeated"
for address in $first $third; do
	call "sent with its id" "$address" /order/x -H "$(as harbour)" \
	    -H 'X-Request-Id: order-1' -d one
done
call "another request with the id" "$second" /order/x -H "$(as harbour)" \
    -H 'X-Request-Id: order-1' -d two
faults '{"stall_head_share": 1, "stall_ms": 4000}'
call "late" "$first" /order/x -H "$(as harbour)" \
    -H 'X-Request-Id: order-2' -d one
call "sent again" "$second" /order/x -H "$(as harbour)" \
    -H 'X-Request-Id: order-2' -d one
faults '{}'
echo "runs of order-1: $(cat "$dir"/s2-*.record |
    grep '"request_id":"order-1"' | grep -c '"phase":"start"')"
echo "runs of order-2: $(cat "$dir"/s2-*.record |
    grep '"request_id":"order-2"' | grep -c '"phase":"start"')"

echo "== explain"
stable() {
	sed 's/[0-9.]* ms/T ms/g; s/[0-9.]* s ago/T s ago/
	    s/s\([12]\)-t[0-9]/s\1-tN/'
}
ctl explain request "rate-$n" | stable
ctl --json explain request late-1 | python3 -c '
import json
import sys
for row in json.load(sys.stdin)["found"]:
    print("late-1:", row["entry_vm"], row["status"], row["outcome"], row["run"],
          row["attempts"] > 0, row["target"][:4], row["workspace"])'
ctl --json explain workspace orchard | python3 -c '
import json
import sys
rows = json.load(sys.stdin)["found"]
print("orchard: entry VMs", len(rows), "rate", {r["rate_per_s"] for r in rows},
      "refused", sum(r["refused_rate"] for r in rows))'
ctl --json explain target s1-t1 | python3 -c '
import json
import sys
for row in json.load(sys.stdin)["found"]:
    print(row["entry_vm"], row["target"], row["state"], row["service"])'

echo "== a withdrawn key, a changed rate"
ctl --change-id withdraw-1 key withdraw "$(cat "$work/id.harbour")" |
    sed 's/[0-9]*$/N/'
ctl --change-id rate-1 rate set orchard 500 100 | sed 's/[0-9]*$/N/'
settle
for address in $first $second $third; do
	call "withdrawn" "$address" /ask/x -H "$(as harbour)"
done
sleep 1.5
n=0
while [ $n -lt 20 ]; do
	call "orchard" "$third" /ask/x -H "$(as orchard)"
	n=$((n + 1))
done | sort | uniq -c | sed 's/^ *//'
"$BUILD/bin/tmctl" --change-id bad-2 delete profiles ask 2>&1
echo "exit $?"

echo "== history"
ctl --json history --limit 14 | python3 -c '
import json
import sys
for item in json.load(sys.stdin)["items"]:
    name = "ID" if item["kind"] == "key" else item["name"]
    print(item["actor"], item["op"], item["kind"], name)'

echo "== graceful stop while a request runs"
curl -s -m 10 -o /dev/null -w 'running request: %{http_code}\n' \
    -H "$(as orchard)" -H 'X-Test-Service-Ms: 1000' \
    "http://$first/ask/x" >"$work/running" &
waiting=$!
sleep 0.3
for name in $FLEET_ENTRIES $FLEET_CONTROLS; do
	scripts/fleet.sh signal "$dir" "$name" TERM
done
wait "$waiting"
cat "$work/running"
tries=200
while scripts/fleet.sh status "$dir" | grep -q '^[ec].*running' &&
    [ $tries -gt 0 ]; do
	sleep 0.1
	tries=$((tries - 1))
done
scripts/fleet.sh status "$dir" | grep '^[ec]'
echo "records with a key: $(cat "$dir"/*.record | grep -c '"marker":true')"
