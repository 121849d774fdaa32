# Failures guarded against: many large requests at once take more memory than an
# entry VM has; a caller whose request does not fit cannot tell that it has not
# run, or when to return; ordinary requests suffer beside it.
. test/functional/lib_tools.sh
. test/functional/lib_tls.sh
make_ca ca
make_certificate ca 127.0.0.1 11 "$work/cert.pem" "$work/key.pem"
FLEET_ENTRY_EXTRA="{\"tls\":{\"certificate_file\":\"$PWD/$work/cert.pem\",
\"key_file\":\"$PWD/$work/key.pem\"}}"
FLEET_TARGET_EXTRA='{"slots":500,"queue":500,"service_time":{"mean_ms":300}}'
FLEET_PROFILE_EXTRA='{"deadline_ms":10000}'
# As in the certificate.
FLEET_IP=127.0.0.1
export FLEET_ENTRY_EXTRA FLEET_TARGET_EXTRA FLEET_PROFILE_EXTRA FLEET_IP
scripts/fleet.sh start "$dir" control=1 entry=3 dcs=1 targets=1 workspaces=1 \
    rate=100000 burst=10000 || exit 1
. "$dir/env"
wait_usable "${FLEET_OPS%% *}"
python3 test/functional/entry_intake.py "${FLEET_LISTEN%% *}" "$work/ca.pem" \
    "$(cat "$dir/key.w1")" "$(cut -d" " -f1 "$dir/entry-1.pid")"
echo "refusals are counted: $(curl -s "http://${FLEET_OPS%% *}/metrics" |
    grep -c '^tm_entry_refusals_total{reason="buffers_full"} [1-9]')"
echo "refusals are logged: $(grep -q '"event":711,' "$dir/entry-1.log" &&
    echo 1)"
