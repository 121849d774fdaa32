# Failures guarded against: two gates together fill a target beyond its memory with
# large requests; one without room is held, sent anyway, sent twice, or refused as
# possibly run or without a time to come back; small requests wait, too; a target that
# responds before it has read a body gets the next request on that connection.
. test/functional/lib_tools.sh
python3 test/functional/gate_upload.py "$BUILD" "$work"
