#!/bin/sh
# Runs the GoogleTest binary and adds its counts to build/check/counts, or to
# a third argument. UNIT_SKIP holds a filter of further tests to leave out.
# A line "unit: Suite.Name ..." in KNOWN-RED.txt passes over that test.
set -u
bin=$1
build=$2
counts=${3:-$build/check/counts}
mkdir -p "$build/check"
report=$build/check/unit.json
skip=${UNIT_SKIP:-}
if [ -f KNOWN-RED.txt ]; then
	skip=$skip:$(sed -n 's/^unit: \([^ ]*\).*/\1/p' KNOWN-RED.txt | paste -sd: -)
fi
rm -f "$report"
"$bin" --gtest_brief=1 --gtest_output="json:$report" \
    --gtest_filter="-$skip" >"$build/check/unit.log" 2>&1
rc=$?
if [ ! -s "$report" ]; then
	echo "FAIL unit: no report (exit $rc)"
	tail -n 40 "$build/check/unit.log"
	echo "0 1" >>"$counts"
	exit 1
fi
# A run without failed tests that ends with an error, such as a leak report of
# a sanitizer, counts as one failure.
python3 - "$report" "$counts" $rc <<'PY'
import json
import sys

with open(sys.argv[1]) as f:
    report = json.load(f)
failed = report["failures"] + report["errors"]
passed = report["tests"] - failed
if failed == 0 and sys.argv[3] != "0":
    failed = 1
with open(sys.argv[2], "a") as f:
    f.write(f"{passed} {failed}\n")
print(f"{'ok  ' if failed == 0 else 'FAIL'} unit: {passed} passed, {failed} failed")
PY
if [ $rc -ne 0 ]; then
	grep -v '^\[  *OK' "$build/check/unit.log" | tail -n 60
fi
exit $rc
