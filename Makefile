# Targets for developers: `make demo`, `make test`, `make check`.
VENV ?= .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: demo test check format install

install: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --requirement requirements.lock
	$(PY) -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

demo: install
	$(VENV)/bin/coltsfootstair demo

test: install
	$(PY) -m pytest

check: install
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

format: install
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .
