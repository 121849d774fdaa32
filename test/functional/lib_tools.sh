# Helpers for the tests of tm-target, tm-load and tmctl.
dir=$BUILD/check/fleet-$(basename "$0" .sh)
work=$dir.work
memory=
rm -rf "$work"
# fleet.sh puts its files there, too.
export FLEET_TMPDIR="${TMPDIR:-}"
if [ -n "${TMPDIR:-}" ]; then
	memory=$(mktemp -d "$TMPDIR/tm-test.XXXXXX") || exit 1
	ln -s "$memory" "$work"
else
	mkdir -p "$work"
fi
helper=
cleanup() {
	[ -f "$dir/env" ] && scripts/fleet.sh stop "$dir"
	[ -n "$helper" ] && kill "$helper" 2>/dev/null
	# The logs stay in the build folder.
	[ -n "$memory" ] && rm -f "$work" && mv "$memory" "$work"
}
trap cleanup EXIT
trap 'exit 1' INT TERM

# wait_for FILE: until the file has content.
wait_for() {
	tries=200
	while [ ! -s "$1" ] && [ $tries -gt 0 ]; do
		sleep 0.05
		tries=$((tries - 1))
	done
}

# wait_usable OPS: until the entry VM with this ops listener may use a target,
# which announced itself, perhaps through another VM.
wait_usable() {
	tries=100
	until curl -s "http://$1/status" | grep -q '"usable":true' ||
	    [ $tries -eq 0 ]; do
		sleep 0.05
		tries=$((tries - 1))
	done
}
