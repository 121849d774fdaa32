# Failure guarded against: SIGHUP ends a process that has just been started.
. test/functional/lib_tools.sh
python3 test/functional/hangup.py "$BUILD" "$work"
