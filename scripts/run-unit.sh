#!/bin/sh
# Runs the GoogleTest binary in parallel shards and adds their counts to
# build/check/counts, or to a third argument. UNIT_SKIP holds a filter of
# further tests to leave out. A line "unit: Suite.Name ..." in KNOWN-RED.txt
# passes over that test.
set -u
bin=$1
build=$2
counts=${3:-$build/check/counts}
out=$build/check/unit
shards=6
skip=${UNIT_SKIP:-}
if [ -f KNOWN-RED.txt ]; then
	skip=$skip:$(sed -n 's/^unit: \([^ ]*\).*/\1/p' KNOWN-RED.txt | paste -sd: -)
fi
rm -rf "$out"
mkdir -p "$out"

run_shard() {
	GTEST_TOTAL_SHARDS=$shards GTEST_SHARD_INDEX=$1 \
	    "$bin" --gtest_brief=1 --gtest_output="json:$out/$1.json" \
	    --gtest_filter="-$skip" >"$out/$1.log" 2>&1
	echo $? >"$out/$1.rc"
}

i=0
while [ $i -lt $shards ]; do
	run_shard $i &
	i=$((i + 1))
done
wait
# A shard without a report, or without failed tests that ends with an error,
# such as a leak report of a sanitizer, counts as one failure.
python3 - "$out" "$counts" $shards <<'PY'
import json
import os
import sys

out, counts, shards = sys.argv[1], sys.argv[2], int(sys.argv[3])
passed = failed = 0
for shard in range(shards):
    base = f"{out}/{shard}"
    with open(base + ".rc") as f:
        rc = int(f.read())
    bad = 0
    if os.path.exists(base + ".json"):
        with open(base + ".json") as f:
            report = json.load(f)
        bad = report["failures"] + report["errors"]
        passed += report["tests"] - bad
    if rc != 0:
        bad = max(bad, 1)
        print(f"shard {shard} ended with exit code {rc}")
        with open(base + ".log") as f:
            lines = [l for l in f if not l.startswith("[       OK")]
        sys.stdout.writelines(lines[-60:])
    failed += bad
with open(counts, "a") as f:
    f.write(f"{passed} {failed}\n")
print(f"{'FAIL' if failed else 'ok  '} unit: {passed} passed, {failed} failed")
sys.exit(failed > 0)
PY
