# Every target sets itself up: a fresh machine needs only Python 3.11 and make.
PYTHON ?= python3.11
VENV ?= .venv
RUN = PYTHONPATH=. $(VENV)/bin/python

.PHONY: setup demo test check format lint unittest

setup: $(VENV)/installed

$(VENV)/installed: requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements.txt
	touch $(VENV)/installed

demo: setup
	$(RUN) -m standins.demo

test: setup lint unittest

lint: setup
	$(VENV)/bin/pyink --quiet --check .
	$(VENV)/bin/ruff check --quiet .

format: setup
	$(VENV)/bin/ruff check --silent --fix --exit-zero .
	$(VENV)/bin/pyink --quiet .

unittest: setup
	$(RUN) -m standins.run_tests

.PHONY: bench bench-changes bench-outage model-check

bench: setup
	$(RUN) -m standins.bench_entry

bench-changes: setup
	$(RUN) -m standins.bench_changes

bench-outage: setup
	$(RUN) -m standins.bench_outage

model-check: setup
	$(RUN) -m spec.check
