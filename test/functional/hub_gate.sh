# Failures guarded against: the hubs do not form one log from their seeds; an
# accepted document or a withdrawn key is not in force at the gates; a request
# reaches a deregistered target, or another incarnation; accepted data is lost
# after all hubs were killed; a gate that stops aborts a request.
. test/functional/lib_tools.sh
python3 test/functional/hub_gate.py "$BUILD" "$work"
