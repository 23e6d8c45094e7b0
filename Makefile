PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
FLEET ?= norrspar
PART ?= all
SEEDS ?= 20
PACKAGES := packages/chalkyoke packages/chalkyoke-ctl packages/chalkyoke-fakes

.PHONY: install demo test lint bench proofs soak memory-load format

$(VENV)/.installed: requirements.lock packages/chalkyoke/pyproject.toml packages/chalkyoke-ctl/pyproject.toml packages/chalkyoke-fakes/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.lock
	$(BIN)/pip install --quiet --no-deps $(addprefix -e ,$(PACKAGES))
	touch $@

install: $(VENV)/.installed

demo: install
	$(BIN)/python scripts/demo.py --fleet $(FLEET)

test: install
	$(BIN)/python -m pytest

proofs: install
	SEEDS=$(SEEDS) $(BIN)/python scripts/proofs.py

soak: install
	$(BIN)/python scripts/soak.py --seeds $(SEEDS)

memory-load: install
	$(BIN)/python scripts/memory_load.py

bench: install
	$(BIN)/python -m benches --part $(PART)

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/lint-imports

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
