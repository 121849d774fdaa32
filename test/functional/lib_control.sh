# Three control VMs on loopback for functional tests; source lib.sh first.
# shellcheck shell=sh disable=SC2034,SC2154

token=operator-token-for-tests
secret=fleet-secret-for-tests

# control_prepare: settings and folders of control VMs 1 to 3
control_prepare() {
	# shellcheck disable=SC2046
	set -- $(free_ports 6)
	admin_1=$1 admin_2=$2 admin_3=$3
	for i in 1 2 3; do
		mkdir -p "$work/data-$i"
		cat >"$work/control-$i.json" <<JSON
{
  "node": "control-$i", "data_centre": "dc-$i",
  "data_dir": "$work/data-$i",
  "admin_listen": "127.0.0.1:$(eval echo "\$$i")",
  "peer_listen": "127.0.0.1:$(eval echo "\$$((i + 3))")",
  "control_vms": [
    {"name": "control-1", "peer": "127.0.0.1:$4", "admin": "127.0.0.1:$1"},
    {"name": "control-2", "peer": "127.0.0.1:$5", "admin": "127.0.0.1:$2"},
    {"name": "control-3", "peer": "127.0.0.1:$6", "admin": "127.0.0.1:$3"}
  ],
  "fleet_secrets": ["$secret"],
  "operators": [{"name": "alice", "token_sha256": "$(sha256 $token)"}]
}
JSON
	done
}

# control_start N
control_start() {
	"$bin/tm-control" --settings "$work/control-$1.json" \
	    2>>"$work/control-$1.log" &
	eval "pid_$1=$!"
	pids="$pids $!"
}

# control_url N
control_url() {
	eval echo "http://127.0.0.1:\$admin_$1"
}

# control_field N PATH: field of the status of control VM N
control_field() {
	curl -s -m 2 -H "Authorization: Bearer $token" \
	    "$(control_url "$1")/v1/status" 2>/dev/null |
	    json_get "$2" 2>/dev/null
}

# find_leader: sets leader to the number of the leader that is ready
find_leader() {
	for n in 1 2 3; do
		if [ "$(control_field $n ready)" = True ]; then
			leader=$n
			return 0
		fi
	done
	return 1
}

# api N METHOD PATH [CURL ARGUMENTS]: the body goes to $work/body
api() {
	url=$(control_url "$1")$3
	method=$2
	shift 3
	code=$(curl -s -m 10 --location-trusted -X "$method" \
	    -H "Authorization: Bearer $token" -o "$work/body" \
	    -w '%{http_code}' "$@" "$url")
	echo "$code"
}

# is_caught_up N: control VM N holds the version of the leader and votes
is_caught_up() {
	[ "$(control_field "$1" version)" = \
	    "$(control_field "$leader" version)" ] &&
	    [ "$(control_field "$1" voter)" = True ]
}

# dump N: digest of all objects as the leader lists them
dump() {
	for kind in profiles services routes workspaces keys; do
		api "$1" GET "/v1/$kind?limit=1000" >/dev/null
		json_get items <"$work/body"
	done | sha256sum | cut -d' ' -f1
}
