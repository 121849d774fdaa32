# Failure guarded against: a request that crashes each target is not blocked where
# something keeps the ports of the targets open while they start again.
. test/functional/lib_tools.sh
python3 test/functional/gate_crash.py "$BUILD" "$work" keeps-ports
