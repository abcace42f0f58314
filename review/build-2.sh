#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start besides the program itself:
# stand-ins in Python 3 without further packages, which are compiled here so that an
# error shows at once. Only case 9 has a script.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for file in lib2/*.py 9/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' \
    "$file"
done
