#!/bin/sh
# Checks that the stand-ins of the cases compile; they are Python scripts without dependencies.
cd "$(dirname "$0")" || exit 1
exec python3 -B - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON
