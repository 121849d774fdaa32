#!/bin/sh
# Runs each fuzz target over its corpus and seeded mutations. Adds the counts
# to build/check/counts. A line "fuzz: NAME ..." in KNOWN-RED.txt passes over
# that target.
#
#   run-fuzz.sh BUILD RUNS SEED [COUNTS-FILE]
set -u
build=$1
runs=$2
seed=$3
counts=${4:-/dev/null}
passed=0
failed=0
echo "fuzz: $runs mutations of each corpus, seed $seed"
export ASAN_OPTIONS=abort_on_error=1
export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1:abort_on_error=1
for source in test/fuzz/fuzz_*.c; do
	name=$(basename "$source" .c)
	[ "$name" = fuzz_driver ] && continue
	if grep -qs "^fuzz: $name\( \|$\)" KNOWN-RED.txt; then
		echo "skip fuzz $name (KNOWN-RED.txt)"
		continue
	fi
	if timeout 3600 "$build/bin/$name" "test/fuzz/corpus/${name#fuzz_}" \
	    "$runs" "$seed" >"$build/$name.log" 2>&1; then
		passed=$((passed + 1))
	else
		echo "FAIL $name (seed $seed)"
		tail -n 40 "$build/$name.log"
		failed=$((failed + 1))
	fi
done
echo "ok   fuzz: $passed passed, $failed failed"
echo "$passed $failed" >>"$counts"
[ "$failed" -eq 0 ]
