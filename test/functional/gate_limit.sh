# Failures guarded against: a target gets more requests than the limit that it
# names in its responses, also while another hub takes the lead; a limit outlasts
# its being named; requests that no target may take are held, or refused without
# a time to come back.
. test/functional/lib_tools.sh
python3 test/functional/gate_limit.py "$BUILD" "$work"
