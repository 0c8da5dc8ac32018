#!/usr/bin/env bash
# Checks the stand-ins of the cases, which need only the standard library of Python 3.11. The
# programs of the project are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    raise SystemExit("the stand-ins need Python 3.11")
for path in sorted(Path().rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PYTHON
