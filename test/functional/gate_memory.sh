# Failures guarded against: many responses at once, without end or to callers
# that do not read, take more memory than a VM has, and all requests of the gate
# end with it; ordinary requests beside them are not served.
. test/functional/lib_tools.sh
python3 test/functional/gate_memory.py "$BUILD" "$work"
