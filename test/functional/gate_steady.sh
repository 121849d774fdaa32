# Failure guarded against: each request puts off the timer of a gate, so that it
# does not renew its lease while requests come at a steady pace: they are refused
# although they are within their rate, and their keys are not valid for long.
. test/functional/lib_tools.sh
python3 test/functional/gate_steady.py "$BUILD" "$work"
