#!/bin/sh
# Checks that every stand-in can be started: they are Python, of the standard library alone, and need no other build.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python - <<'END'
from pathlib import Path
for file in sorted(Path("review").rglob("*.py")):
    compile(file.read_bytes(), str(file), "exec")
END
