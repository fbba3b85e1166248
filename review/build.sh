#!/usr/bin/env bash
# Builds the stand-ins of the scripts: they are Python, without any package beside the standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib
import sys
if sys.version_info < (3, 9):
    sys.exit("python3 of version 3.9 or later is needed")
for source in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(source.read_text(encoding="utf-8"), str(source), "exec")
CHECK
