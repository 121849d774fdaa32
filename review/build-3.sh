#!/bin/sh
# What the scripts of review/11 to review/15 start beside the programs of the deploy
# file: the stand-ins of test/functional and of review/common-3, in Python without
# packages. Checks that they compile; nothing is written.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import glob
for name in ["test/functional/platform_fleet.py",
             "test/functional/platform_target.py"] + sorted(
                 glob.glob("review/common-3/*.py") +
                 glob.glob("review/1[1-5]/*.py")):
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
PYTHON
