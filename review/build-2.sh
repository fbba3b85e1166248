#!/usr/bin/env bash
# Builds what the cases 7 to 10 start beside waxwing-gateway: their stand-ins are Python modules of the project
# (tests/programs) and of common-2, which need no build. Checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
for file in common-2/fleet.py 7/scenario.py 8/scenario.py 8/leaving.py 9/scenario.py 10/scenario.py 10/again.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; sys.path.insert(0, "common-2"); import fleet'
test -x ../target/waxwing-gateway || { echo "build-2: build the deploy file first" >&2; exit 1; }
