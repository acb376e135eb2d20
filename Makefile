PY ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
ROWS ?=
PACKAGES = core node ops standins fakes bench
STAMP = $(VENV)/.installed

SEED ?= 1
MINUTES ?= 1
RUNS ?= 0

.PHONY: help setup format lint types unit features test bench demo soak clean

help: ## Show what each target does
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sort | \
	awk -F ':.*## ' '{printf "  %-10s %s\n", $$1, $$2}'

$(STAMP): constraints.txt $(PACKAGES:%=packages/%/pyproject.toml) platform/pyproject.toml
	test -x $(BIN)/python || $(PY) -m venv $(VENV)
	$(BIN)/python -m pip install -q -c constraints.txt setuptools wheel
	$(BIN)/python -m pip install -q -c constraints.txt -r requirements-dev.txt
	$(BIN)/python -m pip install -q -c constraints.txt \
	  --no-build-isolation --no-deps $(PACKAGES:%=-e packages/%) -e platform
	touch $(STAMP)

setup: $(STAMP) ## Make the virtual environment with all packages

format: $(STAMP) ## Format the code
	$(BIN)/ruff format packages platform testing features
	$(BIN)/ruff check --fix packages platform testing features

lint: $(STAMP) ## Check format and lint, with OpenStack's hacking
	$(BIN)/ruff format --check packages platform testing features
	$(BIN)/ruff check packages platform testing features
	$(BIN)/flake8 packages platform testing features

types: $(STAMP) ## Check types
	$(BIN)/mypy $(PACKAGES:%=packages/%/src) platform/src --no-error-summary

unit: $(STAMP) ## Run the unit tests
	$(BIN)/python -m pytest

features: $(STAMP) ## Run the scenarios
	$(BIN)/python features/run.py

test: lint types features unit ## Run every check

bench: $(STAMP) ## Measure all rows, or ROWS=prefix (flows. and so on)
	$(BIN)/python -m medlar_bench --rows "$(ROWS)"

demo: $(STAMP) ## Run the Authority's deployment on loopback
	$(BIN)/python -m medlar_standins.demo

soak: $(STAMP) ## Soak real processes: SEED=n MINUTES=m, or RUNS=k seeds; LARGE=1
	$(BIN)/python -m testing.users_platform.soak --seed $(SEED) --minutes $(MINUTES) --runs $(RUNS) $(if $(LARGE),--large)

clean: ## Remove what the build made
	rm -rf build $(VENV)
