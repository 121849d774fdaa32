# Failures guarded against: two programs read a request differently and one of
# them runs a request that nobody sent, an answer without X-Tm-Run, an answer
# of another request, a limit that cuts off other callers.
. test/functional/lib_tools.sh
scripts/fleet.sh start "$dir" control=1 entry=3 dcs=1 targets=1 workspaces=1 \
    rate=100000 burst=10000 || exit 1
. "$dir/env"
wait_usable "${FLEET_OPS%% *}"
python3 test/functional/request_shapes.py "${FLEET_LISTEN%% *}" \
    "$(cat "$dir/key.w1")" "$dir/s1-t1.record" "$FLEET_TARGET_ADMIN" shapes
