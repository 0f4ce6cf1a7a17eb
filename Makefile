VENV ?= .venv
PYTHON := $(VENV)/bin/python
JOBS ?= $(shell nproc)
STAMP := $(VENV)/.installed

# The order of sets decides between equals, so it is the same in every run.
export PYTHONHASHSEED := 0

.PHONY: setup format lint types test matrix bench demo clean

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --requirement requirements.lock
	$(PYTHON) -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

format: setup
	$(PYTHON) -m ruff format src tests benchmarks
	$(PYTHON) -m ruff check --fix src tests benchmarks

lint: setup
	$(PYTHON) -m ruff format --check src tests benchmarks
	$(PYTHON) -m ruff check src tests benchmarks

types: setup
	$(PYTHON) -m mypy

test: setup
	$(PYTHON) -m pytest

matrix: setup
	$(PYTHON) -m tests.matrix.run --jobs $(JOBS)

bench: setup
	$(PYTHON) -m benchmarks.run --output out/bench

demo: setup
	$(PYTHON) -m balsamway.commands.main demo

clean:
	rm -rf out build dist
