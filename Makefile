VENV := .venv
PY := $(VENV)/bin/python

.PHONY: help run serve test lint format naive bench experiments clean

help:            ## show this list
	@grep -E '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*##/\t/'

$(VENV)/.done: requirements.txt requirements-dev.txt pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q -r requirements-dev.txt
	$(VENV)/bin/pip install -q --no-deps -e .
	@touch $@

run: $(VENV)/.done ## send the example requests through a router on embedded stand-ins
	$(VENV)/bin/arbutuschute-standin demo

serve: $(VENV)/.done ## the same, and keep serving until interrupted
	$(VENV)/bin/arbutuschute-standin demo --serve

test: $(VENV)/.done ## run every test
	$(PY) -m pytest -q -n 4

lint: $(VENV)/.done ## formatter check, linter, OpenStack style
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/flake8 arbutuschute tests

format: $(VENV)/.done ## rewrite sources to the house format
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .

naive: $(VENV)/.done ## the promise scenarios against the naive version; it breaks them
	$(PY) -m tests.naive

bench: $(VENV)/.done ## compare with a naive pass-through of the same library
	$(PY) -m benchmarks.passthrough
	$(PY) -m benchmarks.logs

experiments: $(VENV)/.done ## the measures, each against its naive baseline
	$(VENV)/bin/arbutuschute-load experiments

clean:           ## remove the environment and caches
	rm -rf $(VENV) .pytest_cache .ruff_cache .hypothesis build results
