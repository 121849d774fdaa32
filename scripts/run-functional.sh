#!/bin/sh
# Runs each test/functional/NAME.sh and NAME.fleet and compares its output with
# test/functional/NAME.expected. Adds the counts to build/check/counts. A .fleet
# file with the line "#long" runs under "make prove" only. FUNCTIONAL_JOBS tests
# run at the same time (1).
# A line "functional: NAME ..." in KNOWN-RED.txt passes over that test.
# Without TMPDIR, the data folders of the tests, also those of whole fleets, are in
# memory where there is room and programs may run from it: all hubs or control VMs of
# a test share one disk, and an fsync was seen to take 13 s beside builds, during which
# none of them can acknowledge anything.
# hub_slow_disk tests slow disks.
set -u
MEMORY_DIR=/dev/shm
MEMORY_MIN_KB=2000000
build=$1
only=${2:-}
out=$build/check/functional
jobs=${FUNCTIONAL_JOBS:-1}

# Whether the folders of the tests may be in memory.
has_memory_dir() {
	[ -w "$MEMORY_DIR" ] || return 1
	free_kb=$(df -Pk "$MEMORY_DIR" | awk 'NR == 2 { print $4 }')
	[ "${free_kb:-0}" -ge "$MEMORY_MIN_KB" ] || return 1
	probe=$(mktemp "$MEMORY_DIR/tm-probe.XXXXXX") || return 1
	printf '#!/bin/sh\n' >"$probe"
	chmod 700 "$probe"
	"$probe" 2>/dev/null
	rc=$?
	rm -f "$probe"
	return $rc
}

# Runs one script and keeps its verdict in a file.
run_one() {
	script=$1
	name=$(basename "${script%.*}")
	case $script in
	*.sh) runner=sh ;;
	*) runner="python3 test/functional/fleet_scenario.py" ;;
	esac
	# shellcheck disable=SC2086
	BUILD=$build timeout 120 $runner "$script" >"$out/$name.out" 2>"$out/$name.err"
	rc=$?
	if [ $rc -eq 0 ] &&
	    diff -u "test/functional/$name.expected" "$out/$name.out" \
	    >"$out/$name.diff" 2>&1; then
		echo "ok   functional $name"
		echo ok >"$out/$name.verdict"
	else
		echo "FAIL functional $name (exit $rc)"
		if [ $rc -eq 0 ]; then
			cat "$out/$name.diff"
		else
			tail -n 20 "$out/$name.out"
		fi
		tail -n 20 "$out/$name.err"
		echo failed >"$out/$name.verdict"
	fi
}

if [ -z "${TMPDIR:-}" ] && has_memory_dir; then
	export TMPDIR=$MEMORY_DIR
fi
if [ "$only" = --one ]; then
	run_one "$3"
	exit 0
fi
rm -rf "$out"
mkdir -p "$out"
for script in test/functional/*.sh test/functional/*.fleet; do
	[ -e "$script" ] || continue
	name=$(basename "${script%.*}")
	case $script in
	*/lib*) continue ;;
	esac
	grep -q '^#long$' "$script" && continue
	if [ -n "$only" ] && [ "$only" != "$name" ]; then
		continue
	fi
	if grep -qs "^functional: $name\( \|$\)" KNOWN-RED.txt; then
		echo "skip functional $name (KNOWN-RED.txt)"
		continue
	fi
	echo "$script"
done >"$out/list"
grep '^skip' "$out/list"
grep -v '^skip' "$out/list" |
    xargs -r -P "$jobs" -n 1 "$0" "$build" --one
passed=$(cat "$out"/*.verdict 2>/dev/null | grep -c '^ok$')
wanted=$(grep -vc '^skip' "$out/list")
failed=$((wanted - passed))
echo "$passed $failed" >>"$build/check/counts"
[ "$failed" -eq 0 ]
