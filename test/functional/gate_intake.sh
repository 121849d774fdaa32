# Failures guarded against: many large requests at once take more memory than a VM
# has, and all requests of the gate end with it; a caller whose large request does
# not fit gets a reset instead of a response that it can act on; a body that was
# sent without a copy reaches the target changed.
. test/functional/lib_tools.sh
python3 test/functional/gate_intake.py "$BUILD" "$work"
