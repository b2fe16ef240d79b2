#!/bin/sh
# Builds every stand-in that the scripts of review/6 to review/10 start: they are Python files of the standard library alone, so building them
# is compiling them. To be run behind the build of deploy/balancer.toml; needs no network. No stand-in of another place is used.
set -eu
cd "$(dirname "$0")"
python=../.venv/bin/python
test -x "$python" || { echo "no .venv: run the build of deploy/balancer.toml first"; exit 2; }
for file in standins-2/*.py [6-9]/case.py 10/case.py; do
    if test -f "$file"; then
        "$python" -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
        echo "compiled $file"
    fi
done
