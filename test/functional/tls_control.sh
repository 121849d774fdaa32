# Failures guarded against: an admin API that tmctl cannot reach over HTTPS, a
# server certificate that is not checked, a redirect that leaves HTTPS, an
# operator token that cannot be replaced without a stop.
. test/functional/lib.sh
. test/functional/lib_control.sh
. test/functional/lib_tls.sh
make_ca ca
make_ca other
make_certificate ca 127.0.0.1 21 "$work/cert.pem" "$work/key.pem"
make_certificate ca 127.0.0.2 22 "$work/cert-2.pem" "$work/key-2.pem"
control_prepare
for i in 1 2 3; do
	tls="\"certificate_file\": \"$work/cert.pem\""
	tls="\"tls\": {$tls, \"key_file\": \"$work/key.pem\"},"
	sed -i "s|\"peer_listen\"|$tls &|" "$work/control-$i.json"
	control_start $i
done
echo $token >"$work/token"
servers=127.0.0.1:$admin_1,127.0.0.1:$admin_2,127.0.0.1:$admin_3

# ctl CA ARGUMENTS...: exit status of tmctl
ctl() {
	ca=$1
	shift
	"$bin/tmctl" --server "$servers" --token-file "$work/token" \
	    --ca-file "$work/$ca.pem" --timeout-ms 3000 "$@" \
	    >"$work/out" 2>"$work/err"
	echo $?
}
has_leader() {
	[ "$(ctl ca get profile none)" = 1 ]
}
wait_until 20 has_leader || fail "no leader"
cat >"$work/objects.json" <<'JSON'
{"workspaces": [{"name": "w1", "rate_per_s": 5, "burst": 5}]}
JSON
echo "apply: $(ctl ca apply "$work/objects.json")"
echo "get: $(ctl ca get workspace w1)"
echo "each server, with its redirect:"
for port in $admin_1 $admin_2 $admin_3; do
	servers=127.0.0.1:$port
	ctl ca get workspace w1
done
echo "untrusted: $(ctl other get workspace w1)"
servers=127.0.0.1:$admin_1
echo "no CA: $("$bin/tmctl" --server $servers --token-file "$work/token" \
    --timeout-ms 1000 status >/dev/null 2>&1; echo $?)"
echo "missing CA file: $(ctl none get workspace w1)"

# hang_up EVENT: SIGHUP to control VM 1, until the event is in its log
hang_up() {
	before=$(grep -c "\"event\":$1," "$work/control-1.log")
	kill -HUP "$pid_1"
	logged() {
		[ "$(grep -c "\"event\":$1," "$work/control-1.log")" -gt \
		    "$before" ]
	}
	wait_until 5 logged "$1" && echo "event $1: logged"
}
echo "== a new operator token"
sed -i "s/$(sha256 $token)/$(sha256 another-token)/" "$work/control-1.json"
hang_up 238
echo "old: $(ctl ca status)"
echo another-token >"$work/token"
echo "new: $(ctl ca status)"
echo "== a certificate of another address"
cp "$work/cert-2.pem" "$work/cert.pem"
cp "$work/key-2.pem" "$work/key.pem"
hang_up 238
echo "status: $(ctl ca status)"
echo "== a key of another certificate"
cp "$work/ca.key" "$work/key.pem"
hang_up 239
