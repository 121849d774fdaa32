#!/bin/sh
# Guards against: changes that are lost, applied twice or reverted when the
# leader is killed, a VM restarts, a disk is lost, operators race, or a change
# is sent again after its response was lost.
. test/functional/lib.sh
. test/functional/lib_control.sh

victim=
control_prepare

echo "== settings"
"$bin/tm-control" --settings "$work/control-1.json" --check >/dev/null
echo "check of good settings: $?"
cat >"$work/bad.json" <<'JSON'
{"node": "-bad", "data_dir": "", "admin_listen": "127.0.0.1:x", "colour": 1}
JSON
(cd "$work" && "$bin/tm-control" --settings bad.json --check 2>bad.txt)
echo "check of bad settings: $?"
for field in node data_centre data_dir admin_listen peer_listen control_vms \
    fleet_secrets operators colour; do
	grep -q "$field" "$work/bad.txt" && echo "named: $field"
done
"$bin/tm-control" --print-default >"$work/default.json"
"$bin/tm-control" --settings "$work/default.json" --check >/dev/null
echo "check of the default: $?"

echo "== start"
control_start 1
control_start 2
control_start 3
wait_until 15 find_leader || fail "no leader"
follower=$((leader % 3 + 1))
echo "a leader is ready"

echo "== authentication and redirect"
curl -s -o /dev/null -w '%{http_code}\n' "$(control_url "$leader")/v1/status"
curl -s -o /dev/null -w '%{http_code}\n' -H "Authorization: Bearer wrong" \
    "$(control_url "$leader")/v1/status"
curl -s -o /dev/null -w '%{http_code}\n' -H "Authorization: Bearer $token" \
    "$(control_url "$follower")/v1/profiles"

echo "== changes through a follower"
api "$follower" PUT /v1/profiles/quick \
    -d '{"ejection": "eager", "floor_percent": 60, "repeat": "allowed", "deadline_ms": 2000}'
api "$follower" PUT /v1/workspaces/harbour -d '{"rate_per_s": 100, "burst": 50}'
api "$follower" PUT /v1/services/stockboard -d '{"profile": "quick"}'
api "$follower" PUT /v1/routes/stock \
    -d '{"path_prefix": "/stock", "service": "stockboard", "workspaces": ["harbour"]}'
api "$follower" GET /v1/routes/stock
json_get workspaces.0 <"$work/body"

echo "== refused changes"
api "$leader" PUT /v1/services/rakedesk -d '{"profile": "none", "colour": "red"}'
json_get problems.0.field <"$work/body"
api "$leader" PUT /v1/services/rakedesk -d '{"profile": "none"}'
json_get problems.0.found <"$work/body"
api "$leader" PUT /v1/profiles/slow \
    -d '{"ejection": "never", "floor_percent": 101, "deadline_ms": 0}'
json_get problems.0.field <"$work/body"
json_get problems.1.field <"$work/body"
json_get problems.2.field <"$work/body"
api "$leader" DELETE /v1/profiles/quick
json_get error <"$work/body"
api "$leader" PUT "/v1/profiles/trial?dry_run=1" -d '{"floor_percent": 10}'
api "$leader" GET /v1/profiles/trial
api "$leader" PUT /v1/nothing/here -d '{}'

echo "== two operators change the same version"
api "$leader" GET /v1/workspaces/harbour
version=$(json_get version <"$work/body")
for burst in 60 70; do
	curl -s --location-trusted -o /dev/null -w '%{http_code}\n' -X PUT \
	    -H "Authorization: Bearer $token" -H "If-Version: $version" \
	    -d "{\"rate_per_s\": 100, \"burst\": $burst}" \
	    "$(control_url "$leader")/v1/workspaces/harbour" \
	    >"$work/race-$burst" &
	eval "race_$burst=$!"
done
# shellcheck disable=SC2154
wait "$race_60" "$race_70"
sort "$work/race-60" "$work/race-70"
api "$leader" PUT /v1/workspaces/harbour -H "If-Version: 0" \
    -d '{"rate_per_s": 1, "burst": 1}'

echo "== the same change again"
api "$leader" PUT /v1/workspaces/quarry -H "X-Change-Id: once-1" \
    -d '{"rate_per_s": 10, "burst": 5}'
first=$(json_get version <"$work/body")
api "$leader" PUT /v1/workspaces/quarry -d '{"rate_per_s": 20, "burst": 5}'
api "$leader" PUT /v1/workspaces/quarry -H "X-Change-Id: once-1" \
    -d '{"rate_per_s": 10, "burst": 5}'
[ "$(json_get version <"$work/body")" = "$first" ] && echo "same response"
api "$leader" PUT /v1/workspaces/quarry -H "X-Change-Id: once-1" \
    -d '{"rate_per_s": 11, "burst": 5}'
api "$leader" GET /v1/workspaces/quarry
json_get rate_per_s <"$work/body"

echo "== keys"
api "$leader" POST /v1/keys -H "X-Change-Id: key-1" -d '{"workspace": "harbour"}'
key=$(json_get key <"$work/body")
id=$(json_get id <"$work/body")
echo "$key" | grep -Eq '^tmk_[0-9a-f]{16}_[0-9a-f]{64}$' && echo "key has its form"
api "$leader" POST /v1/keys -H "X-Change-Id: key-1" -d '{"workspace": "harbour"}'
[ "$(json_get key <"$work/body")" = "$key" ] && echo "same key"
api "$leader" GET "/v1/keys/$id"
grep -q "${key##*_}" "$work/body" && echo "the secret is shown"
[ "$(json_get secret_sha256 <"$work/body")" = "$(sha256 "${key##*_}")" ] &&
    echo "digest of the secret is stored"
api "$leader" POST "/v1/keys/$id/withdraw"
api "$leader" PUT "/v1/keys/$id" \
    -d "{\"workspace\": \"harbour\", \"secret_sha256\": \"$(sha256 "${key##*_}")\"}"
api "$leader" GET "/v1/keys/$id"
json_get withdrawn <"$work/body"

echo "== a file of objects, applied completely or not at all"
cat >"$work/objects.json" <<'JSON'
{"profiles": [{"name": "steady"}],
 "services": [{"name": "ledgergate", "profile": "steady"}],
 "routes": [{"name": "ledger", "path_prefix": "/ledger",
   "service": "ledgergate", "workspaces": "all"}]}
JSON
api "$leader" POST "/v1/apply?dry_run=1" -d "@$work/objects.json"
api "$leader" GET /v1/services/ledgergate
api "$leader" POST /v1/apply -d "@$work/objects.json"
api "$leader" GET /v1/services/ledgergate
sed 's/"ledger"/"copy"/; s/steady/stray/g' "$work/objects.json" >"$work/clash.json"
api "$leader" POST /v1/apply -d "@$work/clash.json"
api "$leader" GET /v1/profiles/stray
api "$leader" GET "/v1/history?limit=1"
json_get items.0.actor <"$work/body"

echo "== 300 changes, listed in pages"
python3 - "$(control_url "$leader")" "$token" <<'PY'
import http.client
import json
import sys

conn = http.client.HTTPConnection(sys.argv[1].split("//")[1])
headers = {"Authorization": "Bearer " + sys.argv[2]}
codes = set()
for i in range(300):
    body = json.dumps({"rate_per_s": i + 1, "burst": 10})
    conn.request("PUT", f"/v1/workspaces/load-{i:03}", body, headers)
    response = conn.getresponse()
    response.read()
    codes.add(response.status)
print(sorted(codes))
names = []
after = ""
while after is not None:
    conn.request("GET", f"/v1/workspaces?limit=70&after={after}", None, headers)
    page = json.load(conn.getresponse())
    names += [item["name"] for item in page["items"]]
    after = page["next"]
print(len(names), names == sorted(set(names)))
PY

echo "== the leader is killed"
before=$(dump "$leader")
eval "victim=\$pid_$leader"
old=$leader
kill -9 "$victim"
wait "$victim" 2>/dev/null
wait_until 10 find_leader || fail "no new leader"
[ "$leader" != "$old" ] && echo "another leader is ready"
[ "$(dump "$leader")" = "$before" ] && echo "nothing is lost"
api "$leader" PUT /v1/workspaces/quarry -H "X-Change-Id: once-1" \
    -d '{"rate_per_s": 10, "burst": 5}'
[ "$(json_get version <"$work/body")" = "$first" ] && echo "same response"
api "$leader" POST /v1/keys -H "X-Change-Id: key-1" -d '{"workspace": "harbour"}'
api "$leader" PUT /v1/workspaces/late -d '{"rate_per_s": 5, "burst": 5}'
after=$(dump "$leader")

echo "== it restarts"
control_start "$old"
wait_until 10 is_caught_up "$old" || fail "not caught up"
echo "it has caught up"

echo "== a disk is lost"
third=$((6 - leader - old))
eval "victim=\$pid_$third"
kill -9 "$victim"
wait "$victim" 2>/dev/null
rm -rf "$work/data-$third"
mkdir "$work/data-$third"
control_start "$third"
wait_until 20 is_caught_up "$third" || fail "no vote after the loss of a disk"
echo "it votes with its new disk"
[ "$(dump "$leader")" = "$after" ] && echo "nothing reverted"

echo "== planned stop of the leader"
eval "victim=\$pid_$leader"
kill -TERM "$victim"
wait "$victim"
echo "exit $?"
wait_until 10 find_leader || fail "no leader after a planned stop"
[ "$(dump "$leader")" = "$after" ] && echo "nothing reverted"
api "$leader" PUT /v1/workspaces/last -d '{"rate_per_s": 5, "burst": 5}'
