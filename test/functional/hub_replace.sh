# Failures guarded against: documents or evacuations that were acknowledged are lost
# when hubs are replaced for good by empty ones at other addresses; a new hub gets
# no seat in the log, so that the loss of the first ones leaves no majority; there
# is no leader for longer than 15 s.
. test/functional/lib_tools.sh
python3 test/functional/hub_replace.py "$BUILD" "$work"
