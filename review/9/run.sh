#!/bin/sh
# Runs the case; see claim.txt beside it. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x .venv/bin/python ] || exit 2
PYTHONDONTWRITEBYTECODE=1 exec .venv/bin/python review/standins-2/two_calls_out.py "$here"
