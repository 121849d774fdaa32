# Failures guarded against: an answer without X-Tm-Run to bytes that are no
# HTTP request, a request found behind them.
. test/functional/lib_tools.sh
scripts/fleet.sh start "$dir" control=1 entry=3 dcs=1 targets=1 workspaces=1 ||
    exit 1
. "$dir/env"
wait_usable "${FLEET_OPS%% *}"
python3 test/functional/request_shapes.py "${FLEET_LISTEN%% *}" \
    "$(cat "$dir/key.w1")" "$dir/s1-t1.record" "$FLEET_TARGET_ADMIN" unparsed
