# Failure guarded against: a target ends its connections soon after a response
# without saying so, and each request sent on such a connection is lost.
. test/functional/lib_tools.sh
python3 test/functional/gate_closing.py "$BUILD" "$work"
