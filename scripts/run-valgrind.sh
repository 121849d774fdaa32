#!/bin/sh
# Runs the unit tests under valgrind, in parallel shards, without benches, random
# schedules and scenarios, which take minutes there, and without EntryTables,
# whose entry VM lives until the end of the process. A line "unit: Suite.Name ..."
# in KNOWN-RED.txt passes over that test, as in run-unit.sh.
set -u
bin=$1
shards=3
slow='*Bench*:*Property*:*Random*:*Scenario*:Proof*:RaftMechanismOff*'
slow=$slow:RaftOnDisk*:TargetSize*:RefusalTarget*:Claims*:LoadPatterns*
own_end='EntryTables*'
# A pause of valgrind is longer than the freeze that these tests look for.
timed='*Freeze*'
known=
if [ -f KNOWN-RED.txt ]; then
	known=$(sed -n 's/^unit: \([^ ]*\).*/\1/p' KNOWN-RED.txt | paste -sd: -)
fi
out=$(mktemp -d) || exit 1
trap 'rm -rf "$out"' EXIT

run_shard() {
	GTEST_TOTAL_SHARDS=$shards GTEST_SHARD_INDEX=$1 \
	    valgrind -q --error-exitcode=9 --leak-check=full \
	    --show-leak-kinds=definite --errors-for-leak-kinds=definite \
	    "$bin" --gtest_brief=1 \
	    --gtest_filter="-$slow:$own_end:$timed:$known" >"$out/$1.log" 2>&1
	echo $? >"$out/$1.rc"
}

i=0
while [ $i -lt $shards ]; do
	run_shard $i &
	i=$((i + 1))
done
wait
# The tests print figures of their models; what failed comes last, as the caller
# shows the end of the log only.
failed=0
i=0
while [ $i -lt $shards ]; do
	cat "$out/$i.log"
	[ "$(cat "$out/$i.rc")" = 0 ] || failed=$((failed + 1))
	i=$((i + 1))
done
grep -h -E '^==|Failure$|^\[  FAILED' "$out"/*.log
echo "$failed of $shards shards failed"
[ "$failed" -eq 0 ]
