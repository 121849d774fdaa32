#!/bin/sh
# Guards against: a recovery without a confirmation, with one that does not
# match, from a VM that was not meant, or while a majority answers; exit codes.
. test/functional/lib.sh
. test/functional/lib_control.sh

# ctl N ...: asks control VM N alone
ctl() {
	n=$1
	shift
	timeout 20 "$bin/tmctl" --token-file "$work/token" \
	    --server "127.0.0.1:$(eval echo "\$admin_$n")" "$@"
}

plan() {
	ctl 3 --json recover >"$work/plan" 2>/dev/null
}

control_prepare
echo "$token" >"$work/token"
control_start 1
control_start 2
control_start 3
wait_until 15 find_leader || fail "no leader"
api "$leader" PUT /v1/workspaces/w -d '{"rate_per_s": 1, "burst": 1}'

echo "== refused"
timeout 20 "$bin/tmctl" --token-file "$work/token" \
    --server "127.0.0.1:$admin_1,127.0.0.1:$admin_3" recover 2>/dev/null
echo "two servers: exit $?"
ctl 3 recover 2>"$work/err"
echo "majority answers: exit $?"
grep -c 'a leader or a majority' "$work/err"

echo "== recovered"
kill -9 "$pid_1" "$pid_2"
wait_until 20 plan || fail "no plan"
ctl 3 recover 0123456789abcdef >/dev/null 2>"$work/err"
echo "wrong confirmation: exit $?"
grep -c 'the confirmation does not match' "$work/err"
json_get may_be_lost <"$work/plan"
ctl 3 recover "$(json_get confirm <"$work/plan")" >/dev/null
echo "confirmed: exit $?"
wait_until 5 find_leader || fail "no leader"
api 3 PUT /v1/workspaces/w -d '{"rate_per_s": 2, "burst": 1}'
ctl 3 --json get workspace w | json_get rate_per_s
ctl 3 recover >/dev/null 2>&1
echo "again: exit $?"
