# Failures guarded against: an evacuation ends with the hubs that took the order;
# a gate goes on using the targets, or uses them after a start of its own; a request
# is cut, held or refused for nothing; an order is refused when it is sent again; the
# calls are there without the setting; a hub cannot start from a snapshot with ended
# evacuations.
. test/functional/lib_tools.sh
python3 test/functional/hub_evacuation.py "$BUILD" "$work"
