#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start besides the program itself:
# stand-ins in Python 3 without further packages, which are compiled here so that an
# error shows at once.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for file in lib2/*.py 8/*.py 10/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' \
    "$file"
done
