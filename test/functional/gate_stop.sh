# Failures guarded against: a gate that is stopped ends without an answer to
# requests that wait for a target or for a configuration; it sends requests to
# targets that can't answer before it ends, and cuts them off; it ends while it
# still writes responses.
. test/functional/lib_tools.sh
python3 test/functional/gate_stop.py "$BUILD" "$work"
