# Failure guarded against: an announcement for a service that no configuration
# names, from another writer, takes the address or id of a target in use, so that
# this one gets no requests for a minute.
. test/functional/lib_tools.sh
python3 test/functional/hub_other_writer.py "$BUILD" "$work"
