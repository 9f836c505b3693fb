#!/bin/sh
# Prepares the stand-ins of the cases: they are Python (python3 is in packages.txt; standard library only), so building
# means compiling them once, to find errors.
set -eu
cd "$(dirname "$0")"
for file in lib/standins.py [0-9]*/case.py; do
  /usr/bin/env python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
