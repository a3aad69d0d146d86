# Every target makes the environment first: exact versions from requirements.lock.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: environment demo test format lint types doctest unit generate bench load load-quick soak soak-drawn soak-rejects soak-silences soak-silent-platform mutants capacity pages inforce budgets quick quiet

$(STAMP): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $(STAMP)

environment: $(STAMP)

format: environment
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: environment
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: environment
	$(BIN)/mypy

doctest: environment
	$(BIN)/python -m tests.doctests

unit: environment
	$(BIN)/python -m tests.runner

test: lint types doctest unit

# What needs no process and no second: for a check while one writes.
quick: lint types doctest
	$(BIN)/python -m tests.quick

demo: environment
	$(BIN)/python -m bench.demo

generate: environment
	PATH=$(CURDIR)/$(BIN):$$PATH $(BIN)/python -m anvilshift.peers.generate

load: environment
	$(BIN)/python -m bench.load

load-quick: environment
	$(BIN)/python -m bench.load --seeds 2

bench: environment
	$(BIN)/python -m bench.overhead

capacity: environment
	$(BIN)/python -m bench.capacity

SEED ?= 1
SECONDS ?= 300
soak: environment
	PYTHONHASHSEED=0 $(BIN)/python -m bench.soak.run $(SEED) $(SECONDS)

# The same while all engines reject most requests at times.
soak-rejects: environment
	PYTHONHASHSEED=0 $(BIN)/python -m bench.soak.run $(SEED) $(SECONDS) rejects

# The same while engines fall silent for a moment and go on, beside fewer other faults.
soak-silences: environment
	PYTHONHASHSEED=0 $(BIN)/python -m bench.soak.run $(SEED) $(SECONDS) silences

# The same while open connections to the platform fall silent for good.
soak-silent-platform: environment
	PYTHONHASHSEED=0 $(BIN)/python -m bench.soak.run $(SEED) $(SECONDS) silent_platform

# A course whose faults and arrivals don't depend on the product.
soak-drawn: environment
	PYTHONHASHSEED=0 $(BIN)/python -m bench.soak.drawn $(SEED) $(SECONDS)

pages: environment
	$(BIN)/python -m anvilshift.operator.codes > docs/ERRORS.md

inforce: environment
	$(BIN)/python -m bench.inforce

# Ways to spend a budget, on the same requests in virtual time.
budgets: environment
	$(BIN)/python -m bench.budgets

quiet: environment
	$(BIN)/python -m bench.quiet

# Break the code on purpose, a fault at a time; the soak or a course must catch each.
mutants: environment
	PYTHONHASHSEED=0 $(BIN)/python -m bench.mutants
