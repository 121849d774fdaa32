# Failure guarded against: gates without a leader, which can't know that a target turns
# cold, send it what they sent while it was warm.
. test/functional/lib_tools.sh
python3 test/functional/gate_cold_alone.py "$BUILD" "$work"
