#!/bin/sh
echo "prove: nothing to run yet" >&2
exit 1
