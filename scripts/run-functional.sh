#!/bin/sh
# Runs each test/functional/NAME.sh and NAME.fleet and compares its output with
# test/functional/NAME.expected. Adds the counts to build/check/counts. A .fleet
# file with the line "#long" runs under "make prove" only.
# A line "functional: NAME ..." in KNOWN-RED.txt passes over that test.
set -u
build=$1
only=${2:-}
out=$build/check/functional
mkdir -p "$out"
passed=0
failed=0
for script in test/functional/*.sh test/functional/*.fleet; do
	[ -e "$script" ] || continue
	name=$(basename "${script%.*}")
	case $script in
	*/lib*) continue ;;
	*.sh) runner=sh ;;
	*) runner="python3 test/functional/fleet_scenario.py" ;;
	esac
	grep -q '^#long$' "$script" && continue
	if [ -n "$only" ] && [ "$only" != "$name" ]; then
		continue
	fi
	if grep -qs "^functional: $name\( \|$\)" KNOWN-RED.txt; then
		echo "skip functional $name (KNOWN-RED.txt)"
		continue
	fi
	# shellcheck disable=SC2086
	BUILD=$build timeout 120 $runner "$script" >"$out/$name.out" 2>"$out/$name.err"
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
