# Failures guarded against: after a loss of power each hub parses every document
# of its log, so that no gate is served for that time; a hub without a seat in the
# log cannot tell who leads.
. test/functional/lib_tools.sh
python3 test/functional/hub_power.py "$BUILD" "$work"
