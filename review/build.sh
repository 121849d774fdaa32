#!/bin/sh
# Builds the stand-ins of the cases. They are Python programs without further
# packages; compiling them shows that each can be read. The programs under test
# come from the build of the deploy file.
set -e
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import glob
import sys

assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for name in ["common/fleet.py"] + sorted(glob.glob("*/case.py")):
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
    print("ok", name)
PY
