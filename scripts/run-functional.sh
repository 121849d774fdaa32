#!/bin/sh
# Runs each test/functional/NAME.sh and compares its output with
# test/functional/NAME.expected. Adds the counts to build/check/counts.
# A line "functional: NAME ..." in KNOWN-RED.txt passes over that test.
set -u
build=$1
only=${2:-}
out=$build/check/functional
mkdir -p "$out"
passed=0
failed=0
for script in test/functional/*.sh; do
	[ -e "$script" ] || continue
	name=$(basename "$script" .sh)
	case $name in
	lib*) continue ;;
	esac
	if [ -n "$only" ] && [ "$only" != "$name" ]; then
		continue
	fi
	if grep -qs "^functional: $name\( \|$\)" KNOWN-RED.txt; then
		echo "skip functional $name (KNOWN-RED.txt)"
		continue
	fi
	BUILD=$build timeout 120 sh "$script" >"$out/$name.out" 2>"$out/$name.err"
	rc=$?
	if [ $rc -eq 0 ] &&
	    diff -u "test/functional/$name.expected" "$out/$name.out" \
	    >"$out/$name.diff" 2>&1; then
		echo "ok   functional $name"
		passed=$((passed + 1))
	else
		echo "FAIL functional $name (exit $rc)"
		cat "$out/$name.diff"
		tail -n 20 "$out/$name.err"
		failed=$((failed + 1))
	fi
done
echo "$passed $failed" >>"$build/check/counts"
[ "$failed" -eq 0 ]
