# Failure guarded against: a request goes on, and holds its target, after its caller
# left with a further request or a TLS alert unread, or with a reset.
. test/functional/lib_tools.sh
python3 test/functional/gate_left.py "$BUILD" "$work"
