#!/bin/bash
# Builds the stand-ins that the scripts start: they are Python programs without dependencies, so this only checks that
# they can be compiled. The host program is built by the command `build` of deploy/system.toml.
set -e
cd "$(dirname "$0")"
python3 -B - <<'PYTHON'
import pathlib
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(), str(path), "exec")
    print("checked", path)
PYTHON
