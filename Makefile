PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := packages/lycheeslip_common packages/lycheeslip packages/lycheeslip_agent packages/lycheeslip_standins platform
CODE := $(wildcard packages tests benchmarks platform)

.PHONY: setup test lint format demo prove soak bench slopes overload

setup: $(VENV)/.ready

$(VENV)/.ready: constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml platform/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -c constraints.txt -r requirements-dev.txt
	$(BIN)/pip install -q --disable-pip-version-check --no-build-isolation -c constraints.txt $(PACKAGES:%=-e %)
	touch $@

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/black --check -q $(CODE)
	$(BIN)/ruff check -q $(CODE)
	$(BIN)/mypy --no-error-summary $(PACKAGES)

format: setup
	$(BIN)/black -q $(CODE)
	$(BIN)/ruff check -q --fix $(CODE)

demo: setup
	$(BIN)/python -m lycheeslip_standins.demo

prove: setup
	$(BIN)/python -m tests.prove --seed $(or $(SEED),1) --trials $(or $(TRIALS),1)

soak: setup
	SOAK_SEEDS=$(or $(SEEDS),10) $(BIN)/python -m pytest tests/platform_adapter/soak_processes_tests.py

bench: setup
	$(BIN)/python -m benchmarks.run --size hooghly --out results/hooghly
	$(BIN)/python -m benchmarks.run --size kite --out results/kite

slopes: setup
	$(BIN)/python -m benchmarks.slopes

overload: setup
	$(BIN)/python -m benchmarks.overload
