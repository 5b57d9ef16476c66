#!/bin/sh
# The stand-ins of the cases are Python files that use the standard library
# alone; this checks that they compile. The project's programs come from the
# build of the deploy file.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q -f lib 1 2 3
