# Failures guarded against: a cold target gets more requests in a second than its
# bound, also while another hub takes the lead; a target that is warm again gets
# no more than a cold one; requests that no target may take are held, or refused
# without a time to come back.
. test/functional/lib_tools.sh
python3 test/functional/gate_cold.py "$BUILD" "$work"
