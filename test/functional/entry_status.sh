# Failures guarded against: a response of a target whose status line is none of HTTP
# (000, 099, 600, 1000, -01, +20, "2 0") reaches the caller of tm-entry, is not
# counted as a wrong one, or leaves its connection in use.
. test/functional/lib_tools.sh
scripts/fleet.sh start "$dir" control=1 entry=3 dcs=1 targets=1 workspaces=1 ||
    exit 1
. "$dir/env"
wait_usable "${FLEET_OPS%% *}"
scripts/fleet.sh signal "$dir" s1-t1 TERM
python3 test/functional/entry_status.py "$dir" "${FLEET_LISTEN%% *}" \
    "${FLEET_OPS%% *}" "$(cat "$dir/key.w1")"
