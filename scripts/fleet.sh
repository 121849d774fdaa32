#!/bin/sh
# Starts and stops a small fleet on loopback for demos, measurements and tests.
#
#   fleet.sh start DIR [control=3] [entry=3] [dcs=3] [services=1] [targets=4]
#            [workspaces=3] [rate=1000] [burst=500] [slots=4]
#   fleet.sh stop DIR              stops every process of the fleet, by its id
#   fleet.sh run DIR NAME          starts one process of the fleet again
#   fleet.sh signal DIR NAME SIG   sends a signal, e.g. TERM, KILL, STOP, CONT
#   fleet.sh status DIR            one line per process
#
# DIR is made under build/. It holds NAME.json, NAME.log, NAME.pid, the
# addresses in fleet.json and env, the operator token in token, and the key of
# each workspace in key.WORKSPACE. BUILD names the build folder. With FLEET_TMPDIR,
# DIR is a link into that folder until stop, which moves the files to DIR: an fsync
# or a log line then waits for no disk that others use.
set -u
BUILD=${BUILD:-build}
WAIT_S=${FLEET_WAIT_S:-20}
here=$(dirname "$0")

die() {
	echo "fleet: $*" >&2
	exit 1
}

# Time of a process's start, so that a reused process id is not taken for ours.
start_of() {
	sed 's/.*) //' "/proc/$1/stat" 2>/dev/null | cut -d' ' -f20
}

is_alive() {
	[ -s "$dir/$1.pid" ] || return 1
	read -r pid began <"$dir/$1.pid"
	[ -n "$began" ] && [ "$(start_of "$pid")" = "$began" ] &&
	    ! grep -q '^State:.*Z' "/proc/$pid/status" 2>/dev/null
}

send() {
	is_alive "$1" || return 1
	read -r pid began <"$dir/$1.pid"
	kill "-$2" "$pid" 2>/dev/null
}

binary_of() {
	case $1 in
	control-*) echo "$BUILD/bin/tm-control" ;;
	entry-*) echo "$BUILD/bin/tm-entry" ;;
	s*-t*) echo "$BUILD/bin/tm-target" ;;
	*) die "unknown process name '$1'; see fleet.sh status" ;;
	esac
}

run_one() {
	bin=$(binary_of "$1") || exit 1
	[ -x "$bin" ] || die "$bin is missing; run make"
	[ -f "$dir/$1.json" ] || die "$dir/$1.json is missing; run start first"
	is_alive "$1" && die "$1 runs already"
	"$bin" --settings "$dir/$1.json" >>"$dir/$1.log" 2>&1 </dev/null &
	echo "$! $(start_of $!)" >"$dir/$1.pid"
}

# wait_for WHAT COMMAND...: repeats the command until it succeeds.
wait_for() {
	what=$1
	shift
	deadline=$(($(date +%s) + WAIT_S))
	until "$@" >/dev/null 2>&1; do
		if [ "$(date +%s)" -ge "$deadline" ]; then
			echo "fleet: $what not ready after $WAIT_S s" >&2
			return 1
		fi
		sleep 0.05
	done
}

ctl() {
	"$BUILD/bin/tmctl" --server "$(echo "$FLEET_ADMIN" | tr ' ' ,)" \
	    --token-file "$dir/token" "$@"
}

has_announced() {
	curl -sf "http://$1/status" | grep -q '"announced":[1-9]'
}

# The tables reach all entry VMs some time after the announcements.
sees_targets() {
	[ "$(curl -sf "http://$1/status" | grep -o '"usable":true' |
	    wc -l)" = "$(echo $FLEET_TARGETS | wc -w)" ]
}

has_leader() {
	ctl --timeout-ms 500 --json status | grep -q '"leader":"'
}

configure() {
	wait_for "a control leader" has_leader || return 1
	ctl apply "$dir/objects.json" >"$dir/apply.log" 2>&1 || {
		cat "$dir/apply.log" >&2
		return 1
	}
	for workspace in $FLEET_WORKSPACES; do
		ctl --json key issue "$workspace" 2>>"$dir/apply.log" |
		    sed -n 's/.*"key":"\([^"]*\)".*/\1/p' \
		    >"$dir/key.$workspace"
		[ -s "$dir/key.$workspace" ] || {
			echo "fleet: no key for $workspace" >&2
			return 1
		}
	done
}

start_all() {
	for name in $FLEET_CONTROLS; do
		run_one "$name"
	done
	[ -z "$FLEET_CONTROLS" ] || configure || return 1
	for name in $FLEET_ENTRIES $FLEET_TARGETS; do
		run_one "$name"
	done
	for address in $FLEET_OPS; do
		wait_for "entry $address" curl -sf "http://$address/readyz" ||
		    return 1
	done
	for address in $FLEET_TARGET_LISTEN; do
		wait_for "target $address" curl -sf "http://$address/health" ||
		    return 1
	done
	[ -n "$FLEET_ENTRIES" ] || return 0
	for address in $FLEET_TARGET_ADMIN; do
		wait_for "announcement of $address" has_announced "$address" ||
		    return 1
	done
	for address in $FLEET_OPS; do
		wait_for "targets at entry $address" sees_targets "$address" ||
		    return 1
	done
}

stop_all() {
	all="$FLEET_TARGETS $FLEET_ENTRIES $FLEET_CONTROLS"
	for name in $all; do
		send "$name" CONT
		send "$name" KILL
	done
	for name in $all; do
		tries=100
		while is_alive "$name" && [ $tries -gt 0 ]; do
			sleep 0.02
			tries=$((tries - 1))
		done
		rm -f "$dir/$name.pid"
	done
}

# Removes the files of an earlier fleet.
remove_files() {
	if [ -L "$dir" ]; then
		files=$(readlink "$dir")
		case $files in
		*/tm-fleet.*) rm -rf "$files" ;;
		esac
	fi
	rm -rf "$dir"
}

make_dir() {
	if [ -z "${FLEET_TMPDIR:-}" ]; then
		mkdir -p "$dir"
		return
	fi
	mkdir -p "$(dirname "$dir")"
	files=$(cd "$FLEET_TMPDIR" && mktemp -d "$PWD/tm-fleet.XXXXXX") || exit 1
	ln -s "$files" "$dir"
}

# Moves the files of a fleet that has stopped from FLEET_TMPDIR to DIR.
keep_files() {
	[ -L "$dir" ] || return 0
	files=$(readlink "$dir")
	rm "$dir"
	mv "$files" "$dir"
}

[ $# -ge 2 ] || die "usage: fleet.sh start|stop|run|signal|status DIR ..."
command=$1
dir=$2
shift 2
case $dir in
*build/*) ;;
*) die "found folder '$dir'; allowed: a folder under build/" ;;
esac
if [ "$command" = start ]; then
	if [ -f "$dir/env" ]; then
		. "$dir/env"
		stop_all
	fi
	remove_files
	make_dir
	python3 "$here/fleet_settings.py" "$dir" "$@" || exit 1
fi
[ -f "$dir/env" ] || die "no fleet in '$dir'; run start first"
. "$dir/env"
dir=$FLEET_DIR
case $command in
start)
	if ! start_all; then
		for name in $FLEET_CONTROLS $FLEET_ENTRIES $FLEET_TARGETS; do
			is_alive "$name" || [ ! -f "$dir/$name.log" ] || {
				echo "fleet: $name does not run:" >&2
				tail -n 5 "$dir/$name.log" >&2
			}
		done
		stop_all
		keep_files
		die "start failed; the logs are in $dir"
	fi
	;;
stop)
	stop_all
	keep_files
	;;
run) run_one "${1:?name}" ;;
signal) send "${1:?name}" "${2:?signal}" || die "$1 does not run" ;;
status)
	for name in $FLEET_CONTROLS $FLEET_ENTRIES $FLEET_TARGETS; do
		is_alive "$name" && echo "$name running" || echo "$name stopped"
	done
	;;
*) die "unknown command '$command'" ;;
esac
