#!/bin/sh
# Runs a short selection of the unit tests under valgrind.
set -eu
bin=$1
tests=Keyguard.*:Response.*:RequestWire.*:PeerFrame.*:JsonCheck.*:Config.*
tests=$tests:Store.*:QueueTest.*
valgrind -q --error-exitcode=9 --leak-check=full \
    --errors-for-leak-kinds=definite \
    "$bin" --gtest_brief=1 --gtest_filter="$tests:-*Random*"
