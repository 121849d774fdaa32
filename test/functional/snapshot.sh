#!/bin/sh
# Guards against: a backup that cannot be restored, one that loses or changes
# objects, a damaged or foreign file that is taken, a restore over a group that
# is in use, an interrupted restore that cannot go on.
. test/functional/lib.sh
. test/functional/lib_control.sh

ctl() {
	timeout 20 "$bin/tmctl" --token-file "$work/token" \
	    --server "127.0.0.1:$admin_1,127.0.0.1:$admin_2,127.0.0.1:$admin_3" \
	    "$@"
}

start_group() {
	control_start 1
	control_start 2
	control_start 3
	wait_until 15 find_leader || fail "no leader"
}

stop_group() {
	for i in 1 2 3; do
		kill -TERM "$(eval echo "\$pid_$i")"
		wait "$(eval echo "\$pid_$i")"
	done
}

# try FILE: what tmctl says about a file, without its path
try() {
	ctl snapshot restore "$1" >"$work/out" 2>&1
	echo "exit $?"
	sed -n "s|^tmctl: $work/|tmctl: |p" "$work/out"
}

control_prepare
echo "$token" >"$work/token"
start_group

echo "== save"
python3 - >"$work/objects.json" <<'PY'
import json
print(json.dumps({
    "profiles": [{"name": "p", "ejection": "eager", "floor_percent": 60,
                  "repeat": "allowed", "deadline_ms": 2000}],
    "workspaces": [{"name": f"w{i}", "rate_per_s": i + 1, "burst": 5}
                   for i in range(1500)],
    "services": [{"name": "s", "profile": "p"}],
    "routes": [{"name": "r", "path_prefix": "/r", "service": "s",
                "workspaces": ["w1", "w2"]}]}))
PY
python3 - >"$work/more.json" <<'PY'
import json
print(json.dumps({"workspaces": [
    {"name": f"w{i}", "rate_per_s": i + 1, "burst": 5}
    for i in range(1500, 3000)]}))
PY
ctl apply "$work/objects.json" >/dev/null 2>&1
echo "apply $?"
ctl apply "$work/more.json" >/dev/null 2>&1
echo "apply $?"
ctl --json key issue w1 2>/dev/null >"$work/key.json"
ctl --json key issue w2 2>/dev/null >"$work/key2.json"
ctl key withdraw "$(json_get id <"$work/key2.json")" >/dev/null 2>&1
echo "withdraw $?"
before=$(ctl --json list keys | python3 -c '
import json, sys
print([(k["id"], k["secret_sha256"], k["withdrawn"])
       for k in json.load(sys.stdin)["items"]])')
ctl snapshot save "$work/backup" >"$work/out"
echo "save $?: $(sed -n 's/.*bytes, //p' "$work/out")"
ctl snapshot save "$work/backup" 2>/dev/null
echo "save over a file: exit $?"

echo "== files that are refused"
printf 'profiles: none\n' >"$work/foreign"
try "$work/foreign"
head -c 1000 "$work/backup" >"$work/short"
try "$work/short"
python3 - "$work/backup" "$work" <<'PY'
import sys
data = bytearray(open(sys.argv[1], "rb").read())
data[len(data) // 2] ^= 1
open(sys.argv[2] + "/flipped", "wb").write(data)
data[len(data) // 2] ^= 1
data[5:8] = b"009"
open(sys.argv[2] + "/later", "wb").write(data)
PY
try "$work/flipped"
try "$work/later"
try "$work/none"

echo "== restore"
ctl snapshot restore "$work/backup" >"$work/out" 2>&1
echo "into a group in use: exit $?"
grep -c 'the group has changes already' "$work/out"
stop_group
rm -rf "$work"/data-[123]/*
start_group
ctl --dry-run snapshot restore "$work/backup" >/dev/null
echo "dry run $?"
ctl --json history | json_get items
ctl snapshot restore "$work/backup" >"$work/out" 2>"$work/err"
echo "restore $?: $(sed -n 's/.*bytes, //p' "$work/out")"
after=$(ctl --json list keys | python3 -c '
import json, sys
print([(k["id"], k["secret_sha256"], k["withdrawn"])
       for k in json.load(sys.stdin)["items"]])')
[ "$before" = "$after" ] && echo "keys are equal"
ctl --json get workspace w2999 | json_get rate_per_s
ctl --json get route r | json_get workspaces
id=$(sed -n 's/^change-id: //p' "$work/err")
ctl --change-id "$id" snapshot restore "$work/backup" >/dev/null 2>&1
echo "again with its change id: $?"
