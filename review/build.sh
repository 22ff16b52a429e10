#!/bin/bash
# Builds the stand-ins that the cases start: they are Python sources, run by the interpreter of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x .venv/bin/python
PYTHONPATH=review PYTHONDONTWRITEBYTECODE=1 .venv/bin/python - <<'PY'
import standins.platform, standins.servers, standins.clients, standins.process  # noqa
import stoatgw.emulator.engine.server  # the project's own stand-in of a coordination engine
PY
