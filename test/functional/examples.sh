# Failures guarded against: example settings that the programs refuse, example
# objects that control refuses, a settings field without documentation.
. test/functional/lib_tools.sh
for deployment in m g; do
	folder=examples/deployment-$deployment
	"$BUILD/bin/tm-control" --check --settings $folder/control-1.json
	echo "deployment $deployment: tm-control --check exit $?"
	"$BUILD/bin/tm-entry" --check --settings $folder/entry-1.json
	echo "deployment $deployment: tm-entry --check exit $?"
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
        r"(?:json_\w+|control_read_\w+)\(\s*&?\w+,\s*"
        r'"(\w+)"', text))
    # Both programs read the field for TLS with the same function.
    fields |= set(re.findall(r'json_\w+\(root, "(\w+)"',
                             open("src/http/http_tls.c").read()))
    listed = set(re.findall(r"^\| `(?:\w+\[\]\.)?(\w+)`", section, re.M))
    print(source, len(fields) > 8, sorted(fields ^ listed))
PY
