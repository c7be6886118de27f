# Every target makes the environment first, from pinned versions.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
export PIP_DISABLE_PIP_VERSION_CHECK = 1
export PYTHONHASHSEED = 0

# The users' bench and site files, for `make play`.
BENCH ?= fleetbench
SITES ?=
JOBS ?= 3
# Processes that run tests; a file's tests stay in one of them. Tests that
# measure what a process holds run one at a time, after the others.
TEST_JOBS ?= 6

.PHONY: run demo test measure slopes play format clean

$(VENV)/stamp: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.txt
	$(BIN)/pip install -q --no-deps --no-build-isolation -e .
	touch $@

run: $(VENV)/stamp
	$(BIN)/python -m corianderspar.local run

demo: $(VENV)/stamp
	$(BIN)/python -m corianderspar.local demo

test: $(VENV)/stamp
	$(BIN)/ruff format --check corianderspar tests deploy
	$(BIN)/ruff check corianderspar tests deploy
	$(BIN)/flake8 corianderspar tests deploy
	$(BIN)/mypy
	$(BIN)/python -m pytest -n $(TEST_JOBS) --dist loadfile \
	    --ignore tests/misbehaving
	$(BIN)/python -m pytest tests/misbehaving

measure: $(VENV)/stamp
	$(BIN)/python -m corianderspar.measure

slopes: $(VENV)/stamp
	$(BIN)/python -m corianderspar.slopes

# Quick scores of the sites, one after another.
play:
	@[ -n "$(SITES)" ] || { echo "SITES names no site file" >&2; exit 2; }
	@for site in $(SITES); do \
	    echo "== $$site"; \
	    $(BENCH) score $$site --quick --jobs $(JOBS) || exit 1; \
	done

format: $(VENV)/stamp
	$(BIN)/ruff check -q --fix corianderspar tests || true
	$(BIN)/ruff format -q corianderspar tests deploy

clean:
	rm -rf $(VENV) build *.egg-info
