#!/bin/sh
# Starts a small fleet on loopback, sends requests of several workspaces,
# prints what each got, and stops everything gracefully.
# Exit status: 0 if every answer was the expected one.
set -u
build=$1
here=$(dirname "$0")
dir=$build/demo
failed=0
export BUILD="$build"

finish() {
	sh "$here/fleet.sh" stop "$dir" >/dev/null 2>&1
}
trap finish EXIT
trap 'exit 1' INT TERM

# expect TEXT WANTED GOT
expect() {
	if [ "$2" = "$3" ]; then
		echo "  ok    $1: $3"
	else
		echo "  WRONG $1: $3, expected $2"
		failed=1
	fi
}

# request ADDRESS PATH [CURL-ARGUMENTS...]: prints "STATUS SECONDS RUN"
request() {
	address=$1
	path=$2
	shift 2
	curl -s -o "$dir/body" -D "$dir/head" -m 10 \
	    -w '%{http_code} %{time_total}' "$@" "http://$address$path" \
	    >"$dir/result" || true
	run=$(tr -d '\r' <"$dir/head" | sed -n 's/^x-tm-run: //p')
	echo "$(cat "$dir/result") ${run:-}"
}

status_of() {
	request "$@" | cut -d' ' -f1
}

echo "== fleet: 3 control, 4 entry in 2 data centres, 6 targets in 2 services"
finish
rm -rf "$dir"
sh "$here/fleet.sh" start "$dir" control=3 entry=4 dcs=2 services=2 \
    targets=3 workspaces=3 rate=50 burst=20 || {
	echo "the fleet did not start; see $dir/*.log"
	exit 1
}
. "$dir/env"
ctl() {
	"$build/bin/tmctl" --server "$(echo "$FLEET_ADMIN" | tr ' ' ,)" \
	    --token-file "$dir/token" "$@" 2>/dev/null
}

echo "== one request of each workspace through each entry VM"
for workspace in $FLEET_WORKSPACES; do
	key=$(cat "$dir/key.$workspace")
	n=1
	for address in $FLEET_LISTEN; do
		set -- $(request "$address" /s1/hello \
		    -H "Authorization: Bearer $key")
		expect "$workspace through entry-$n ($2 s)" 200 "$1"
		n=$((n + 1))
	done
done

address=${FLEET_LISTEN%% *}
key=$(cat "$dir/key.w1")
echo "== refusals"
expect "no key" "401 no" "$(request "$address" /s1/x | cut -d' ' -f1,3)"
expect "unknown key" "401 no" "$(request "$address" /s1/x \
    -H 'X-Api-Key: tmk_none_0' | cut -d' ' -f1,3)"
expect "unknown route" "404 no" "$(request "$address" /none \
    -H "X-Api-Key: $key" | cut -d' ' -f1,3)"
expect "key in the URL" "400 no" "$(request "$address" "/s1/x?k=$key" \
    -H "X-Api-Key: $key" | cut -d' ' -f1,3)"

echo "== a request that may not be repeated, sent twice with one id"
ctl apply examples/demo-once.json >/dev/null
sleep 0.5
for n in 1 2; do
	for a in $FLEET_LISTEN; do
		last=$a
	done
	[ $n = 1 ] && to=$address || to=$last
	expect "sending $n" 200 "$(status_of "$to" /s2/order -X POST -d '{}' \
	    -H "X-Api-Key: $key" -H 'X-Request-Id: order-1')"
done
runs=$(cat "$dir"/s2-*.record 2>/dev/null |
    grep '"request_id":"order-1"' | grep -c '"phase":"start"')
expect "runs at the targets" 1 "$runs"

echo "== 200 requests at once of a workspace with burst 20, rate 50/s"
n=0
while [ $n -lt 200 ]; do
	echo "url = \"http://$address/s1/burst\""
	echo "output = /dev/null"
	n=$((n + 1))
done >"$dir/burst.curl"
curl -s -Z --parallel-max 200 --parallel-immediate -H "X-Api-Key: $(cat "$dir/key.w3")" \
    -w '%{http_code}\n' -K "$dir/burst.curl" >"$dir/burst.out" 2>/dev/null
passed=$(grep -c 200 "$dir/burst.out")
refused=$(grep -c 429 "$dir/burst.out")
echo "  answered $passed, refused with 429 $refused"
[ "$passed" -ge 20 ] && [ "$refused" -gt 0 ] || failed=1

echo "== a withdrawn key"
id=$(echo "$key" | sed 's/^tmk_\(.*\)_[^_]*$/\1/')
ctl key withdraw "$id" >/dev/null
sleep 1
n=1
for a in $FLEET_LISTEN; do
	expect "through entry-$n" "401 no" "$(request "$a" /s1/x \
	    -H "X-Api-Key: $key" | cut -d' ' -f1,3)"
	n=$((n + 1))
done

echo "== no target saw a key"
expect "records with a key" 0 \
    "$(cat "$dir"/*.record | grep -c '"marker":true')"

echo "== graceful stop"
for name in $FLEET_TARGETS $FLEET_ENTRIES $FLEET_CONTROLS; do
	sh "$here/fleet.sh" signal "$dir" "$name" TERM
done
tries=120
while sh "$here/fleet.sh" status "$dir" | grep -q running && [ $tries -gt 0 ]
do
	sleep 0.1
	tries=$((tries - 1))
done
expect "processes left" 0 \
    "$(sh "$here/fleet.sh" status "$dir" | grep -c running)"
exit $failed
