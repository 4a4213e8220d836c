# Every target sets itself up: a fresh machine needs only Python 3.11 and make.
PYTHON ?= python3.11
VENV ?= .venv
RUN = PYTHONPATH=. $(VENV)/bin/python

.PHONY: setup demo demo-fleet test check format lint unittest

setup: $(VENV)/installed

$(VENV)/installed: requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements.txt
	touch $(VENV)/installed

demo: setup
	$(RUN) -m standins.demo

# The gateway on stand-ins of the users' platform.
demo-fleet: setup
	$(RUN) -m standins.fleet_demo

test: setup lint unittest

lint: setup
	$(VENV)/bin/pyink --quiet --check .
	$(VENV)/bin/ruff check --quiet .

format: setup
	$(VENV)/bin/ruff check --silent --fix --exit-zero .
	$(VENV)/bin/pyink --quiet .

unittest: setup
	$(RUN) -m standins.run_tests

.PHONY: bench bench-changes bench-outage bench-leaving bench-control
.PHONY: bench-claims bench-config bench-decisions bench-peers bench-policy
.PHONY: model-check fuzz soak

bench: setup
	$(RUN) -m standins.bench_entry

bench-changes: setup
	$(RUN) -m standins.bench_changes

bench-outage: setup
	$(RUN) -m standins.bench_outage

bench-leaving: setup
	$(RUN) -m standins.bench_leaving

bench-control: setup
	$(RUN) -m standins.bench_control

bench-claims: setup
	$(RUN) -m standins.bench_claims

bench-config: setup
	$(RUN) -m standins.bench_config spread
	$(RUN) -m standins.bench_config slopes
	$(RUN) -m standins.bench_config tenants

bench-decisions: setup
	$(RUN) -m standins.bench_decisions

bench-peers: setup
	$(RUN) -m standins.bench_peers

bench-policy: setup
	$(RUN) -m standins.bench_policy

# For example: make soak SEEDS=1-50 KIND=planned
SEEDS ?= 1-5
KIND ?= all
soak: setup
	$(RUN) -m standins.soak --seeds $(SEEDS) --kind $(KIND)

model-check: setup
	$(RUN) -m spec.check

fuzz: setup
	$(RUN) -m standins.fuzz_dead_man --rounds 200
	MULBERRYPICK_FUZZ_EXAMPLES=4000 $(RUN) -m unittest \
		mulberrypick.core.orders_test mulberrypick.core.assembly_test \
		mulberrypick.core.config_store_test mulberrypick.ops.claim_fuzz_test

.PHONY: capacity reference

capacity: setup
	$(RUN) -m standins.capacity --write

reference: setup
	$(RUN) -m standins.write_reference
