# build: the environment that run and sim need; test and lint: as CI; run: the proxy by LB_CONFIG.
.PHONY: build dev test lint run sim

build: .venv/.built

# The stamp is written last, so that a half-made or outdated .venv is made anew.
.venv/.built: requirements.txt
	rm -rf .venv
	python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt
	touch .venv/.built

dev: build
	.venv/bin/pip -q install -r requirements-dev.txt

lint: dev
	.venv/bin/ruff check .
	.venv/bin/mypy

test: dev
	.venv/bin/pytest

run: build
	exec .venv/bin/python -m stoatgw

sim: build
	exec .venv/bin/python -m stoatgw.simwire
