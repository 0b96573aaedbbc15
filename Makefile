# VENV may point at an environment that several work trees share.
VENV ?= .venv
PYTHON ?= python3.11
ARGS ?=
SEED ?= 7
STAMP = $(VENV)/.installed-$(shell cksum requirements.lock | cut -d' ' -f1)
BIN = $(VENV)/bin
SOURCES = nutmegshore tests bench
FORMATTED = $(SOURCES) tools examples

.PHONY: setup demo check style format binary bench capacity clean

setup: $(STAMP)

$(STAMP): requirements.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	touch $(STAMP)

demo: setup
	$(BIN)/python -m nutmegshore demo $(ARGS)

check: setup
	$(BIN)/python -m pytest

style: setup
	$(BIN)/ruff format --check $(FORMATTED)
	$(BIN)/flake8 $(SOURCES)
	$(BIN)/python tools/noqa_count.py

format: setup
	$(BIN)/ruff format $(FORMATTED)

binary: dist/nutmegshore

dist/nutmegshore: setup $(shell find nutmegshore -name '*.py') pyproject.toml
	mkdir -p dist
	$(BIN)/shiv --quiet --compressed --console-script nutmegshore \
	  --python '/usr/bin/env python3.11' --output-file $@ \
	  . --constraint requirements.lock

bench: setup
	$(BIN)/python -m bench --seed $(SEED) $(ARGS)

capacity: setup
	$(BIN)/python -m bench.capacity --seed $(SEED) $(ARGS)

clean:
	rm -rf build dist .pytest_cache .ruff_cache
