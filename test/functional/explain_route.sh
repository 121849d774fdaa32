# Failures guarded against: the explanation of a route differs from what the gate
# does; what is not known has no remedy; asking counts as a request or logs the key.
. test/functional/lib_tools.sh
python3 test/functional/explain_route.py "$BUILD" "$work"
