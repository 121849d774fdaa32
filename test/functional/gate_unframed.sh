# Failure guarded against: a response without a length, whose gate is killed while
# it sends it, looks whole to its caller.
. test/functional/lib_tools.sh
python3 test/functional/gate_unframed.py "$BUILD" "$work"
