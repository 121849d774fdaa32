# Failures guarded against: example settings that the programs refuse, example
# objects that control refuses, a settings field without documentation, a secret
# that one program takes and the other refuses.
. test/functional/lib_tools.sh
for deployment in m g; do
	folder=examples/deployment-$deployment
	"$BUILD/bin/tm-control" --check --settings $folder/control-1.json
	echo "deployment $deployment: tm-control --check exit $?"
	"$BUILD/bin/tm-entry" --check --settings $folder/entry-1.json
	echo "deployment $deployment: tm-entry --check exit $?"
done
for program in control entry; do
	for length in 255 256; do
		python3 - $program $length >"$work/long.json" <<'PY'
import json
import sys
settings = json.load(open(f"examples/deployment-m/{sys.argv[1]}-1.json"))
settings["fleet_secrets"] = ["s" * int(sys.argv[2])]
json.dump(settings, sys.stdout)
PY
		"$BUILD/bin/tm-$program" --check --settings "$work/long.json" \
		    >"$work/out" 2>&1
		echo "tm-$program, secret of $length bytes: --check exit $?"
	done
done
scripts/fleet.sh start "$dir" control=3 entry=0 targets=0 workspaces=0 ||
    exit 1
. "$dir/env"
export TMCTL_SERVERS=$(echo "$FLEET_ADMIN" | tr ' ' ,)
export TMCTL_TOKEN_FILE=$dir/token
for deployment in m g; do
	"$BUILD/bin/tmctl" --json --dry-run apply \
	    examples/deployment-$deployment/objects.json 2>/dev/null
	"$BUILD/bin/tmctl" apply examples/deployment-$deployment/objects.json \
	    >"$work/out" 2>&1
	echo "deployment $deployment: apply exit $?"
done
for kind in profiles services routes workspaces; do
	"$BUILD/bin/tmctl" --json list $kind | python3 -c '
import json
import sys
print(sys.argv[1], *[x["name"] for x in json.load(sys.stdin)["items"]])' $kind
done
echo "== fields on which docs/configuration.md and the programs differ"
python3 - src/entry/entry_settings.c src/control/control_settings.c <<'PY'
import re
import sys
page = open("docs/configuration.md", encoding="utf-8").read()
for source in sys.argv[1:]:
    section = page.split("## Settings of tm-" + re.search(
        r"(\w+)_settings", source)[1])[1].split("\n## ")[0]
    text = open(source, encoding="utf-8").read()
    fields = set(re.findall(
        r"(?:json_\w+|(?:control|program)_read_\w+)\(\s*&?\w+,\s*"
        r'"(\w+)"', text))
    # Both programs read these fields with the same functions.
    for shared in ("src/http/http_tls.c", "src/settings/program_settings.c"):
        fields |= set(re.findall(r'json_\w+\(\s*root,\s*"(\w+)"',
                                 open(shared).read()))
    listed = set(re.findall(r"^\| `(?:\w+\[\]\.)?(\w+)`", section, re.M))
    print(source, len(fields) > 8, sorted(fields ^ listed))
PY
