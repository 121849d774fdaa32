# Failure guarded against: a gate that is stopped resets connections on which a
# further request is unread, and so cuts off answers that it has written.
. test/functional/lib_tools.sh
python3 test/functional/gate_pipelined.py "$BUILD" "$work"
