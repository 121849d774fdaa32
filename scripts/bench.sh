#!/bin/sh
# Measures latency, cost, detection, fairness and recovery. Prints one
# "name value unit" line per figure and writes the same to BUILD/bench.txt.
#
#   bench.sh BUILD [PART...]     without a part: all; a wrong name lists them
set -u
exec python3 "$(dirname "$0")/bench.py" "$@"
