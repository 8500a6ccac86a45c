VENV ?= .venv
PYTHON ?= python3.11
SEED ?= 1
RUNS ?= 200
CHAOS ?= 0
PY := $(VENV)/bin/python
export PYTHONPATH := $(CURDIR)/src

.PHONY: install test lint demo bench check-histories soak process-soak

install: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	test -d $(VENV) || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

lint: install
	$(VENV)/bin/ruff format --check src features benchmarks examples
	$(VENV)/bin/ruff check src features benchmarks examples

test: install
	PY=$(PY) sh .ci/test.sh

demo: install
	SEED=$(SEED) VENV=$(VENV) CHAOS=$(CHAOS) sh examples/demo.sh

check-histories: install
	$(PY) -m benchmarks.check_histories --seed=$(SEED) --runs=$(RUNS)

soak: install
	$(PY) -m benchmarks.platform_soak --seed=$(SEED) --runs=$(RUNS)

process-soak: install
	$(PY) -m benchmarks.process_soak --seed=$(SEED) --runs=$(RUNS)

bench: bench-requests bench-streams bench-keys bench-quotas bench-detection bench-detection_cost \
	bench-table bench-accounts bench-events bench-control bench-control_daemons bench-control_bad_hours \
	bench-log_cost

bench-%: install
	$(PY) -m benchmarks.$* --seed=$(SEED)
