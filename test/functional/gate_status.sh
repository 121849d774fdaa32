# Failure guarded against: a response of a target whose status code ends no request
# (000, 099, 600, 1000, -01, +20, "2 0") reaches the caller as an answer.
. test/functional/lib_tools.sh
python3 test/functional/gate_status.py "$BUILD" "$work"
