# build: what run and sim need. lab: the command line and the lab beside it. try: a first run on a built-in scenario.
.PHONY: build lab dev try test lint run sim

# Bytecode is compiled here, as the proxy's file system may be read-only: without it each start compiles all modules.
build: .venv/.built
	.venv/bin/python -m compileall -q stoatgw

# The stamp is written last, so that a half-made or outdated .venv is made anew.
.venv/.built: requirements.txt
	rm -rf .venv
	python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt
	touch .venv/.built

lab: .venv/.lab

.venv/.lab: .venv/.built requirements-lab.txt pyproject.toml
	.venv/bin/pip -q install -r requirements-lab.txt
	.venv/bin/pip -q install --no-deps --no-build-isolation -e .
	touch .venv/.lab

# Real proxies on 127.0.0.0/8 before stand-in session servers, discovery and clients; about half a minute.
try: lab
	.venv/bin/stoatgw lab run calm --driver loopback --seeds 1 --set length_s=20 --out "$$(mktemp -d)/try"

dev: lab
	.venv/bin/pip -q install -r requirements-dev.txt

lint: dev
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/mypy

test: dev
	.venv/bin/pytest

run: build
	exec .venv/bin/python -m stoatgw

sim: build
	exec .venv/bin/python -m stoatgw.simulator_wire
