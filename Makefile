PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo fleet test bench fuzz capacity lint types format lock clean

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m demo.show

fleet: $(STAMP)
	@$(BIN)/python -m demo.fleet

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/flake8 .

types: $(STAMP)
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format .

test: lint types
	$(BIN)/python -m pytest

bench: $(STAMP)
	$(BIN)/python -m bench.run

fuzz: $(STAMP)
	$(BIN)/python -m bench.fuzz $(SEED)

capacity: $(STAMP)
	$(BIN)/python -m bench.capacity

lock:
	$(BIN)/pip-compile --quiet --generate-hashes --no-emit-index-url \
		--no-emit-trusted-host --no-emit-find-links --no-header --strip-extras \
		--allow-unsafe --extra dev -o requirements.lock pyproject.toml

clean:
	rm -rf $(VENV) build
