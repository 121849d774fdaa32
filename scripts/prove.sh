#!/bin/sh
# Runs the proofs: "PROVED name" or "UNPROVED name reason", one line each.
# A proof is a scenario that passes, and whose check fails with the mechanism
# switched off. Lines "#off MECHANISM: COMMAND" of test/functional/*.fleet name
# the mechanism and the command that must then report FAILED. Proofs on a
# virtual clock are tests of tm-unit.
#
#   prove.sh BUILD [NAME]     NAME is a .fleet scenario, or "unit"
set -u
build=$1
only=${2:-}
out=$build/check/prove
mkdir -p "$out"
unproved=0
export BUILD="$build"

proved() {
	echo "PROVED $1"
}

unproved() {
	echo "UNPROVED $1 $2"
	unproved=$((unproved + 1))
}

run_fleet() {
	log=$1
	shift
	timeout 300 python3 test/functional/fleet_scenario.py "$@" \
	    >"$log" 2>"$log.err"
}

# prove_off NAME MECHANISM COMMAND
prove_off() {
	log=$out/$1.$2.out
	run_fleet "$log" "test/functional/$1.fleet" --off "$2"
	if grep -F -x -A1 "> $3" "$log" | grep -q '^  FAILED'; then
		proved "$1/$2"
	else
		unproved "$1/$2" "with the mechanism off, '$3' did not fail"
	fi
}

prove_fleet() {
	if ! run_fleet "$out/$1.out" "test/functional/$1.fleet" ||
	    ! cmp -s "$out/$1.out" "test/functional/$1.expected"; then
		unproved "$1" "$(grep -m1 FAILED "$out/$1.out" ||
		    echo "the output differs from the expected one")"
		return
	fi
	proved "$1"
	sed -n 's/^#off \([^:]*\): \(.*\)/\1 \2/p' "test/functional/$1.fleet" \
	    >"$out/$1.offs"
	while read -r mechanism command; do
		prove_off "$1" "$mechanism" "$command" </dev/null
	done <"$out/$1.offs"
}

# Scenarios on a virtual clock. The suites named below run each file with its
# mechanism off as well; a failure of any scenario is printed.
prove_unit() {
	"$build/bin/tm-unit" --gtest_filter="$1" \
	    --gtest_output="json:$out/unit.json" >"$out/unit.log" 2>&1
	python3 - "$out/unit.json" <<'PY'
import json
import sys

with open(sys.argv[1]) as file:
    report = json.load(file)
BOTH_WAYS = ("ServiceScenario", "ShardsProof", "RaftMechanismOff")
bad = 0
for suite in report["testsuites"]:
    for test in suite["testsuite"]:
        name = f"{suite['name']}.{test['name']}"
        failures = test.get("failures")
        bad += bool(failures)
        if failures:
            print(f"UNPROVED {name} the test failed")
        elif any(word in name for word in BOTH_WAYS):
            print(f"PROVED {name}")
sys.exit(bad > 0 or not report["testsuites"])
PY
}

for file in test/functional/*.fleet; do
	name=$(basename "$file" .fleet)
	if [ -z "$only" ] || [ "$only" = "$name" ]; then
		prove_fleet "$name"
	fi
done
if [ -z "$only" ] || [ "$only" = unit ]; then
	prove_unit '*Scenario*:*Proof*:RaftMechanismOff.*' ||
	    unproved=$((unproved + 1))
fi
[ "$unproved" -eq 0 ]
