# Failures guarded against: a hub that does not lead serves no targets; draining
# that it has acknowledged is not in force at the gates; it revives a target that
# has deregistered; targets are lost when the leader is killed.
. test/functional/lib_tools.sh
python3 test/functional/hub_announce.py "$BUILD" "$work"
