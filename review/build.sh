#!/usr/bin/env bash
# The stand-ins of the scripts are Python programs (python3, standard library only), so
# that nothing is compiled: this only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.py */case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
