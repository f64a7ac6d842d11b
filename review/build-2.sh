#!/bin/sh
# Builds every stand-in that the scripts of cases 6 to 10 start. They are Python files of the standard library
# beside each script (peers.py, case.py), so there is nothing to compile: this checks that they can be run.
cd "$(dirname "$0")" || exit 1
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
for folder in 6 7 8 9 10; do
  [ -d "$folder" ] || continue
  for file in "$folder"/*.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file" || exit 1
  done
done
