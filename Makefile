PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := packages/loomyard packages/loomyard-router packages/loomyardctl packages/loomyard-standins
SOURCES := packages tests
# Libraries with compiled parts serve one kind of processor.
READY := $(VENV)/.ready-$(shell uname -m)

.PHONY: setup demo serve test soak soak-programs lint format tables clean
setup: $(READY)

$(READY): constraints.txt $(PACKAGES:%=%/pyproject.toml)
	$(PYTHON) -m venv --clear $(VENV)
	$(BIN)/pip install --quiet -c constraints.txt --upgrade setuptools wheel black ruff mypy types-PyYAML matplotlib
	$(BIN)/pip install --quiet -c constraints.txt --no-build-isolation $(PACKAGES:%=-e %)
	touch $@

demo: setup
	$(BIN)/python -m loomyard_standins.demo

serve: setup
	$(BIN)/python -m loomyard_standins.demo --serve

test: setup
	$(BIN)/python -m loomyard_standins.testing tests

soak-programs: setup
	$(BIN)/python -m loomyard_standins.programs $(if $(SEED),--seed $(SEED)) $(if $(SEEDS),--seeds $(SEEDS))

lint: setup
	$(BIN)/black --quiet --check $(SOURCES)
	$(BIN)/ruff check --quiet --output-format concise $(SOURCES)
	$(BIN)/mypy --no-error-summary
	$(BIN)/python -m loomyard_standins.wire_names packages

format: setup
	$(BIN)/black --quiet $(SOURCES)
	$(BIN)/ruff check --quiet --fix --unsafe-fixes $(SOURCES)
	$(BIN)/black --quiet $(SOURCES)

tables: setup
	$(BIN)/python -m loomyard_standins.tables docs
	$(BIN)/python -m loomyard_standins.faults.table

soak: setup
	$(BIN)/python -m loomyard_standins.soak $(if $(SEED),--seed $(SEED))

bench-%: setup
	$(BIN)/python -m loomyard_standins.benches.$*

clean:
	rm -rf $(VENV)
