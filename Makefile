# Commands for development; README.md describes them.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: setup demo up test bench soak capacity check clean

$(READY): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $(READY)

setup: $(READY)

demo: $(READY)
	$(BIN)/python -m standins.demo

up: $(READY)
	@$(BIN)/python -m standins.up

test: $(READY)
	$(BIN)/python -m tests

bench: $(READY)
	$(BIN)/python -m bench

SEED ?= 1
DURATION ?= 60
soak: $(READY)
	$(BIN)/python -m standins.soak --seed $(SEED) --duration $(DURATION)

capacity: $(READY)
	$(BIN)/python -m bench.capacity

check: $(READY)
	$(BIN)/ruff format --check daisyline standins bench tests
	$(BIN)/ruff check daisyline standins bench tests
	$(BIN)/flake8 daisyline standins bench tests
	$(BIN)/lint-imports

clean:
	rm -rf $(VENV)
