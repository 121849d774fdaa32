#!/bin/sh
# Formatter, linter and every test. Ends with "N passed, N failed" over all
# runners; a runner adds its counts to build/check/counts as "passed failed".
# Tests named in KNOWN-RED.txt are passed over and printed.
#
# Programs that mostly wait for each other run beside the builds; the unit
# tests, which keep all cores busy, run after them.
set -u
build=$1
counts=$build/check/counts
mkdir -p "$build/check"
: >"$counts"

run_step() {
	name=$1
	shift
	if "$@" >"$build/check/$name.log" 2>&1; then
		echo "ok   $name"
		echo "1 0" >>"$counts"
	else
		echo "FAIL $name"
		tail -n 60 "$build/check/$name.log"
		echo "0 1" >>"$counts"
	fi
}

run_step format make -s format-check
run_step events python3 scripts/check-events.py
run_step build make -s -j8 all "$build/bin/tm-unit"
FUNCTIONAL_JOBS=3 scripts/run-functional.sh "$build" \
    >"$build/check/functional.log" 2>&1 &
functional=$!
run_step valgrind scripts/run-valgrind.sh "$build/bin/tm-unit" &
valgrind=$!
run_step lint make -s -j4 lint
run_step build-san make -s -j4 SAN=1 build/san/bin/tm-unit fuzz-bins
wait $functional
cat "$build/check/functional.log"
# Resident memory can only be measured in a process that has run no other test:
# what those freed is used again and does not count.
UNIT_SKIP='TargetSize.*' scripts/run-unit.sh "$build/bin/tm-unit" "$build"
run_step target-size "$build/bin/tm-unit" --gtest_filter='TargetSize.*'

# The same tests without the benches and the measurement of memory and time,
# which the sanitizers distort, and the fuzz corpus with the same
# mutations each time, under the address and undefined-behaviour sanitizers.
ASAN_OPTIONS=abort_on_error=1 \
    UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1 \
    UNIT_SKIP='*Bench*:RaftOnDisk.CommitRate:TargetSize.*' \
    scripts/run-unit.sh build/san/bin/tm-unit build/san "$counts"
scripts/run-fuzz.sh build/san 3000 1 "$counts"
wait $valgrind

if [ -s KNOWN-RED.txt ]; then
	echo "Known failures, passed over:"
	cat KNOWN-RED.txt
fi
awk '{ p += $1; f += $2 } END {
	printf "%d passed, %d failed\n", p, f
	exit f > 0
}' "$counts"
