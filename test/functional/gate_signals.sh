# Failures guarded against: a gate sends requests to a target that said in its
# responses that it leaves, or that wanted none for a time; values that make no
# sense stop the requests to a target; requests are held, or refused without a
# time, while all targets of a service want a pause.
. test/functional/lib_tools.sh
python3 test/functional/gate_signals.py "$BUILD" "$work"
