#!/bin/sh
# Fault soak by hand: soak.sh BUILD FIRST COUNT [JOBS [OPTION...]] runs COUNT seeds
# from FIRST on, JOBS (4) at a time, with options of test/functional/soak.py.
# Folders with settings and logs of seeds that failed stay under BUILD/soak.
set -u
if [ $# -lt 3 ]; then
	sed -n '2,4s/^# //p' "$0" >&2
	exit 2
fi
build=$1
first=$2
count=$3
jobs=${4:-4}
shift 3
[ $# -gt 0 ] && shift
out=$build/soak
mkdir -p "$out"
seq "$first" $((first + count - 1)) |
    xargs -P "$jobs" -I '{}' sh -c '
	seed=$1
	out=$2
	build=$3
	shift 3
	if python3 test/functional/soak.py "$build" "$out/$seed" "$seed" "$@" \
	    >"$out/$seed.out" 2>"$out/$seed.err"; then
		rm -rf "${out:?}/$seed"
	fi
	cat "$out/$seed.out" "$out/$seed.err"
    ' sh '{}' "$out" "$build" "$@" | tee "$out/report"
ok=$(grep -c "^seed [0-9]* ok$" "$out/report")
echo "$ok passed, $((count - ok)) failed"
[ "$ok" -eq "$count" ]
