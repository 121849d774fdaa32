#!/bin/sh
# Runs the unit tests under valgrind, without benches, random schedules and
# scenarios, which take minutes there, and without EntryTables, whose entry VM
# lives until the end of the process.
set -eu
bin=$1
slow='*Bench*:*Property*:*Random*:*Scenario*:Proof*:RaftMechanismOff*'
slow=$slow:RaftOnDisk*:TargetSize*:RefusalTarget*:Claims*:LoadPatterns*
own_end='EntryTables*'
# A pause of valgrind is longer than the freeze that these tests look for.
timed='*Freeze*'
valgrind -q --error-exitcode=9 --leak-check=full --show-leak-kinds=definite \
    --errors-for-leak-kinds=definite \
    "$bin" --gtest_brief=1 --gtest_filter="-$slow:$own_end:$timed"
