# Failure guarded against: a gate that was paused ends requests, or takes their
# target for one that hangs, before it has read the responses that arrived.
. test/functional/lib_tools.sh
python3 test/functional/gate_late.py "$BUILD" "$work"
