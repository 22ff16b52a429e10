#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They are Python on the standard library, and the project's own emulated engine:
# nothing is compiled, so this only checks that each can be loaded after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1
export PYTHONDONTWRITEBYTECODE
.venv/bin/python -c "import stoatgw.service.process, stoatgw.emulator.engine.server"
for file in review/standins-2/*.py; do
    .venv/bin/python -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file"
done
