#!/usr/bin/env bash
# What the scripts of cases 4 to 8 start: the project's programs by the build
# of the deploy file, and stand-ins in review/lib-2, which need Python alone.
set -eu
cd "$(dirname "$0")/.."
python3 -m py_compile review/lib-2/*.py review/[4-8]/*.py
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
test -d target/deps
