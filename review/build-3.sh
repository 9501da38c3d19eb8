#!/bin/sh
# Builds what the scripts of review/11 to review/15 start beside the build of the deploy
# file. The stand-ins are Python programs that need the standard library only (3.11 or
# later), so there is nothing to compile; this checks that they can run.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m py_compile lib-3/*.py
rm -rf lib-3/__pycache__
