# Failures guarded against: a change that is lost or applied twice when the
# leader is killed and the command is sent again, a conflict that is not
# reported, control VMs that disagree after a restart.
. test/functional/lib_tools.sh
scripts/fleet.sh start "$dir" control=3 entry=0 targets=0 || exit 1
. "$dir/env"
export TMCTL_SERVERS=$(echo "$FLEET_ADMIN" | tr ' ' ,)
export TMCTL_TOKEN_FILE=$dir/token

ctl() {
	"$BUILD/bin/tmctl" "$@" >"$work/out" 2>"$work/err"
	echo "tmctl $* -> exit $?"
}
get() {
	"$BUILD/bin/tmctl" --json get workspaces "$1" |
	    sed 's/"version":[0-9]*/"version":N/'
}
leader() {
	"$BUILD/bin/tmctl" --json status |
	    sed -n 's/.*"leader":"\([^"]*\)".*/\1/p'
}

ctl --change-id rate-1 rate set w1 300 90
cp "$work/out" "$work/first"
get w1
echo "== sent again: the same answer"
ctl --change-id rate-1 rate set w1 300 90
cmp "$work/out" "$work/first" && echo same
echo "== the id belongs to another change"
ctl --change-id rate-1 rate set w1 301 90
echo "== an old version, a new object that exists, a dry run"
ctl --if-version 1 rate set w1 5 5
ctl --if-version 0 delete workspaces w1
ctl --dry-run rate set w1 7 7
get w1
echo "== the leader is killed; the command goes to the others"
first=$(leader)
scripts/fleet.sh signal "$dir" "$first" KILL
ctl --change-id rate-1 rate set w1 300 90
cmp "$work/out" "$work/first" && echo same
ctl rate set w2 400 40
ctl key issue w2
grep -c '^key: tmk_' "$work/out"
echo "== without a majority nothing is accepted"
second=$(leader)
scripts/fleet.sh signal "$dir" "$second" KILL
ctl --timeout-ms 2500 --change-id rate-3 rate set w3 500 50
echo "== it comes back; the same change is accepted"
scripts/fleet.sh run "$dir" "$second"
ctl --change-id rate-3 rate set w3 500 50
scripts/fleet.sh run "$dir" "$first"
get w1
get w2
get w3
