# Failures guarded against: a certificate that is not read again, an open
# connection cut by that, a bad file that stops the listener, an old TLS
# version, a target secret that cannot be replaced without a stop, a request that
# is lost as its bytes fill the buffer of a read.
. test/functional/lib_tools.sh
. test/functional/lib_tls.sh
make_ca ca
make_certificate ca 127.0.0.1 11 "$work/cert.pem" "$work/key.pem"
FLEET_ENTRY_EXTRA="{\"tls\":{\"certificate_file\":\"$PWD/$work/cert.pem\",
\"key_file\":\"$PWD/$work/key.pem\"}}"
# As in the certificate.
FLEET_IP=127.0.0.1
export FLEET_ENTRY_EXTRA FLEET_IP
scripts/fleet.sh start "$dir" control=1 entry=3 dcs=1 targets=1 workspaces=1 ||
    exit 1
. "$dir/env"
address=${FLEET_LISTEN%% *}
ops=${FLEET_OPS%% *}
key=$(cat "$dir/key.w1")

# hang_up EVENT: SIGHUP to entry-1, until the log has a new line of the event
hang_up() {
	before=$(grep -c "\"event\":$1," "$dir/entry-1.log")
	scripts/fleet.sh signal "$dir" entry-1 HUP
	tries=100
	until [ "$(grep -c "\"event\":$1," "$dir/entry-1.log")" -gt "$before" ] ||
	    [ $tries -eq 0 ]; do
		sleep 0.05
		tries=$((tries - 1))
	done
	echo "event $1: $([ $tries -gt 0 ] && echo logged || echo missing)"
}
# announce SECRET: status of an announcement with this target secret
announce() {
	curl -s -o /dev/null -w '%{http_code}\n' -H "Authorization: Bearer $1" \
	    -d '{}' "http://$ops/v1/targets"
}
set_secrets() {
	python3 - "$dir/entry-1.json" "$@" <<'PY'
import json
import sys
settings = json.load(open(sys.argv[1]))
settings["target_secrets"] = sys.argv[2:]
json.dump(settings, open(sys.argv[1], "w"))
PY
}
wait_usable "$ops"

echo "== requests"
ask() {
	curl -s -o /dev/null -m 5 -w '%{http_code}' -H "X-Api-Key: $key" "$@"
	echo ", curl $?"
}
ask --cacert "$work/ca.pem" "https://$address/s1/x"
echo "plain HTTP: $(ask "http://$address/s1/x")"
echo "no trust: $(ask "https://$address/s1/x")"
echo "TLS 1.1: $(ask --cacert "$work/ca.pem" --tls-max 1.1 \
    --ciphers DEFAULT@SECLEVEL=0 "https://$address/s1/x")"

echo "== requests in pieces as large as a read"
python3 test/functional/tls_pieces.py "$address" "$work/ca.pem" "$key"

echo "== new certificate while a connection is open"
mkfifo "$work/go"
python3 - "$address" "$work/ca.pem" "$key" "$work/go" <<'PY' >"$work/open.out" &
import socket
import ssl
import sys

host, port = sys.argv[1].split(":")
context = ssl.create_default_context(cafile=sys.argv[2])


def ask(sock):
    sock.sendall(f"GET /s1/x HTTP/1.1\r\nHost: h\r\nX-Api-Key: {sys.argv[3]}"
                 "\r\n\r\n".encode())
    data = b""
    while not data.endswith(b"}\n"):
        data += sock.recv(65536)
    return data.split(b"\r\n")[0].decode()


def connect():
    return context.wrap_socket(socket.create_connection((host, int(port))),
                               server_hostname=host)


old = connect()
print("before:", ask(old), old.getpeercert()["serialNumber"], old.version())
print("ready", file=open(sys.argv[4] + ".ready", "w"))
open(sys.argv[4]).read()
print("open connection:", ask(old))
print("new connection:", connect().getpeercert()["serialNumber"])
PY
helper=$!
wait_for "$work/go.ready"
make_certificate ca 127.0.0.1 12 "$work/cert.pem" "$work/key.pem"
hang_up 707
echo go >"$work/go"
wait $helper
helper=
cat "$work/open.out"

echo "== a bad certificate keeps the old one"
cp "$work/cert.pem" "$work/good.pem"
echo garbage >"$work/cert.pem"
hang_up 709
grep -o 'tls.certificate_file: found .*cert.pem ([^)]*)' "$dir/entry-1.log" |
    sed "s|found .*/|found |" | tail -n 1
ask --cacert "$work/ca.pem" "https://$address/s1/x"
cp "$work/good.pem" "$work/cert.pem"

echo "== a new target secret"
old=$(python3 -c 'import json, sys
print(json.load(open(sys.argv[1]))["target_secrets"][0])' "$dir/entry-1.json")
echo "old $(announce "$old"), new $(announce another-target-secret)"
set_secrets another-target-secret "$old"
hang_up 707
echo "old $(announce "$old"), new $(announce another-target-secret)"
set_secrets another-target-secret
hang_up 707
echo "old $(announce "$old"), new $(announce another-target-secret)"
