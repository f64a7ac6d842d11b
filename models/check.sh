#!/bin/bash
# Checks a model whole, then with each guard taken out, which has to be seen to fail. usage: check.sh MODEL.pml
# GUARD... Prints no figures but on standard error: states differ by version. Exit status 77: no spin here.
set -euo pipefail
command -v spin >/dev/null || exit 77
model=$(readlink -f "$1")
shift
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$folder"
verdict() {
  spin -a "$@" "$model" >/dev/null
  cc -O2 -w -DSAFETY -o pan pan.c
  timeout 50 ./pan -E -m2000000 -w24 >out.txt 2>&1 || true
  grep -E 'states, stored|elapsed' out.txt >&2 || true
  if grep -q 'errors: 0' out.txt && ! grep -q 'max search depth too small' out.txt; then echo holds; else echo fails; fi
}
echo "whole: $(verdict)"
for guard in "$@"; do
  echo "$guard: $(verdict "-D$guard")"
done
