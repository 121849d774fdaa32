# Helpers for the functional tests; sourced with "." by each of them.
# BUILD is the build folder; the tests run in the root of the sources.
# shellcheck shell=sh disable=SC2034

root=$(pwd)
bin=$root/${BUILD:-build}/bin
work=$(mktemp -d "${TMPDIR:-/tmp}/tm-test.XXXXXX")
pids=

# Ends the processes that the test started, each by its id. Their logs stay in the
# build folder.
cleanup() {
	for pid in $pids; do
		kill -9 "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	logs=${BUILD:-build}/check/logs-$(basename "$0" .sh)
	rm -rf "$logs"
	mkdir -p "$logs"
	cp "$work"/*.log "$logs" 2>/dev/null
	rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 1' INT TERM

fail() {
	echo "FAILED: $*"
	exit 1
}

# free_ports N: prints N ports that are free at this moment. They lie below
# the range from which the system picks local ports, and each test process
# starts its search elsewhere.
free_ports() {
	python3 - "$1" "$$" <<'PY'
import random
import socket
import sys

count = int(sys.argv[1])
rng = random.Random(int(sys.argv[2]))
held = []
while len(held) < count:
    port = rng.randrange(20000, 32000)
    sock = socket.socket()
    try:
        sock.bind(("127.0.0.1", port))
        held.append(sock)
        print(port)
    except OSError:
        sock.close()
PY
}

# sha256 TEXT: digest in hexadecimal digits
sha256() {
	printf '%s' "$1" | sha256sum | cut -d' ' -f1
}

# json_get PATH: value at a path such as problems.0.field of standard input
json_get() {
	python3 -c '
import json
import sys

value = json.load(sys.stdin)
for part in sys.argv[1].split("."):
    value = value[int(part)] if isinstance(value, list) else value.get(part)
    if value is None:
        break
print(json.dumps(value) if isinstance(value, (dict, list)) else value)
' "$1"
}

# wait_until SECONDS COMMAND...: repeats a command until it succeeds
wait_until() {
	deadline=$(($(date +%s) + $1))
	shift
	while [ "$(date +%s)" -le $deadline ]; do
		if "$@"; then
			return 0
		fi
		sleep 0.05
	done
	return 1
}
