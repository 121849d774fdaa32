# Failure guarded against: a refusal of an earlier request, which a target writes
# once more on a kept connection, is taken for the answer to the request that is
# running there: its caller is told that it did not run, or it runs twice.
. test/functional/lib_tools.sh
python3 test/functional/gate_refused.py "$BUILD" "$work"
