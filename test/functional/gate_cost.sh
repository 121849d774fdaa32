# Failures guarded against: the setting "choice" has no effect, so that a slow target
# gets as many requests by work as by requests; estimates and outcomes of requests,
# and the slowest target, are in no metric or no line of the log; reasons of new
# connections do not add up to their number.
. test/functional/lib_tools.sh
python3 test/functional/gate_cost.py "$BUILD" "$work"
