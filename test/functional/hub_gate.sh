# Failures guarded against: the hubs do not form one log from their seeds; an
# accepted document or a withdrawn key is not in force at the gates; a request
# reaches a target that left, or another incarnation; what was accepted is gone
# after all hubs were killed; a gate that stops cuts a request off.
. test/functional/lib_tools.sh
python3 test/functional/hub_gate.py "$BUILD" "$work"
