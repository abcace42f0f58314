#!/usr/bin/env bash
# Checks what the cases 11 to 15 start beside the program. Their stand-ins are
# Python, of the standard library alone, so nothing has to be built for them.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib3/*.py review/1[1-5]/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
test -x "$(sed -n 's/^run = "\([^ ]*\) .*/\1/p' deploy/system.toml)"
