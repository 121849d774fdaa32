#!/bin/sh
# Guards against: a control VM whose disk refused a write stays a member that does
# nothing, so that the next failure costs the majority; it loses what it had
# accepted.
. test/functional/lib.sh
. test/functional/lib_control.sh

# Size of files in 512 bytes; a larger write fails as on a full disk.
full_blocks=16

# change NAME: accepted through the leader, also if it is another one by now
change() {
	curl -s -m 5 --location-trusted -o /dev/null -w '%{http_code}' -X PUT \
	    -H "Authorization: Bearer $token" \
	    -d '{"rate_per_s": 100, "burst": 50}' \
	    "$(control_url "$leader")/v1/workspaces/$1"
}

# follows N: control VM N has all that the leader has
follows() {
	mine=$(control_field "$1" commit)
	[ -n "$mine" ] && [ "$mine" = "$(control_field "$leader" commit)" ]
}

# has_ended PID
has_ended() {
	! kill -0 "$1" 2>/dev/null
}


control_prepare
control_start 1
control_start 2
control_start 3
wait_until 15 find_leader || fail "no leader"
full=$((leader % 3 + 1))
other=$((full % 3 + 1))

echo "== a disk gets full"
eval "kill -9 \$pid_$full"
# Until it has ended, it holds the lock of its data folder.
eval "wait \$pid_$full" 2>/dev/null
(
	trap '' XFSZ
	ulimit -f $full_blocks
	exec "$bin/tm-control" --settings "$work/control-$full.json"
) 2>"$work/full.log" &
pid_full=$!
pids="$pids $pid_full"
accepted=0
i=0
while ! has_ended $pid_full && [ $i -lt 400 ]; do
	i=$((i + 1))
	[ "$(change "w-$i")" = 200 ] && accepted=$((accepted + 1))
done
has_ended $pid_full || kill -9 $pid_full
wait $pid_full
echo "it ends with status $?"
grep -c '"event":247' "$work/full.log"
echo "changes go on: $([ $accepted -eq $i ] && echo yes)"

echo "== it is started again on a mended disk, and another VM ends"
control_start $full
wait_until 15 follows $full && echo "it has all changes"
eval "kill -9 \$pid_$other"
wait_until 15 find_leader && echo "changes after that: $(change last)"
echo "and those before: $(curl -s -H "Authorization: Bearer $token" \
    "$(control_url "$leader")/v1/workspaces/w-$i" | json_get rate_per_s)"
