# Failures guarded against: a metric that docs/metrics.md does not list, a
# listed metric that no program has, a wrong type, metrics of one name that are
# not together, a histogram whose buckets do not add up.
. test/functional/lib_tools.sh
scripts/fleet.sh start "$dir" control=3 entry=3 dcs=3 services=2 targets=2 \
    workspaces=2 || exit 1
. "$dir/env"
set -- $FLEET_LISTEN
curl -s -o "$work/body" -w 'answered %{http_code}\n' \
    -H "Authorization: Bearer $(cat "$dir/key.w1")" "http://$1/s1/x"
curl -s -o "$work/body" -w 'refused %{http_code}\n' "http://$1/s1/x"
set -- $FLEET_OPS
curl -sf "http://$1/metrics" >"$work/tm-entry"
set -- $FLEET_ADMIN
curl -s -o "$work/body" -w 'without a token %{http_code}\n' "http://$1/metrics"
curl -sf -H "Authorization: Bearer $(cat "$dir/token")" \
    "http://$1/metrics" >"$work/tm-control"
python3 - "$work" <<'PY'
"""Compares /metrics of both programs with the tables of docs/metrics.md."""
import re
import sys

folder = sys.argv[1]
documented = {}
program = None
for line in open("docs/metrics.md", encoding="utf-8"):
    if line.startswith("## "):
        program = line[3:].strip()
    row = re.match(r"\| `(tm_\w+)` \| (\w+) \| ([^|]*) \| ([^|]+) \| ([^|]+) \|",
                   line)
    if row:
        documented.setdefault(program, {})[row[1]] = (
            row[2], re.findall(r"`(\w+)`", row[3]))

for program in ("tm-entry", "tm-control"):
    types, labels, values, ended = {}, {}, {}, set()
    last = None
    for line in open(f"{folder}/{program}", encoding="utf-8"):
        if line.startswith("# TYPE "):
            _, _, name, kind = line.split()
            if name in types:
                print(program, "not together:", name)
            types[name] = kind
            last = name
            continue
        sample = re.fullmatch(r"(\w+)(?:\{(.*)\})? (-?\d+)\n", line)
        name = re.sub(r"_(bucket|count|sum)$", "", sample[1]) \
            if types[last] in ("histogram", "summary") else sample[1]
        if name != last:
            print(program, "out of place:", line.strip())
        found = re.findall(r'(\w+)="[^"]*"', sample[2] or "")
        labels[last] = [x for x in found if x not in ("le", "quantile")]
        values[sample[1], sample[2]] = int(sample[3])
    for name in list(types):
        if name.endswith("_hist"):
            if types.pop(name) != "histogram" or \
                    types.get(name[:-5]) != "summary":
                print(program, "histogram without its summary:", name)
            for (sample, label), value in values.items():
                if sample == name + "_bucket" and 'le="+Inf"' in label:
                    label = re.sub(r',?le="\+Inf"', "", label)
                    if values[name + "_count", label] != value:
                        print(program, "buckets do not add up:", name, label)
    for name in sorted(set(types) | set(documented[program])):
        if name not in types:
            print(program, "only in docs/metrics.md:", name)
        elif name not in documented[program]:
            print(program, "not in docs/metrics.md:", name, types[name],
                  labels[name])
        elif documented[program][name] != (types[name], labels[name]):
            print(program, "differs:", name, documented[program][name],
                  types[name], labels[name])
    print(program, "compared")
    if program == "tm-entry":
        for key in (("tm_entry_requests_total", 'workspace="w1"'),
                    ("tm_entry_latency_us_count", 'workspace="w1"'),
                    ("tm_entry_service_requests_total", 'service="s1"'),
                    ("tm_entry_refusals_total", 'reason="key_missing"'),
                    ("tm_service_targets", 'service="s1",state="usable"')):
            print(*key, values[key])
PY
