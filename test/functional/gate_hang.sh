# Failure guarded against: a request that may be executed twice waits at a target
# that hangs until its caller gives up, and one that may not is executed twice.
. test/functional/lib_tools.sh
python3 test/functional/gate_hang.py "$BUILD" "$work"
