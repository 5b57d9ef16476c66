VENV ?= .venv
PY := $(VENV)/bin/python
FEATURES := $(sort $(wildcard features/*.feature))

.PHONY: setup lint format test demo bench bench-maps plots mutants slopes soak
# Made anew on a box of another architecture or with another Python: some
# libraries are compiled.
DONE := $(VENV)/.done-$(shell uname -m)-$(lastword $(shell python3 --version))
setup: $(DONE)

$(DONE): requirements.txt test-requirements.txt pyproject.toml
	test -e $@ || python3 -m venv --clear $(VENV)
	$(PY) -m pip install -q -r requirements.txt -r test-requirements.txt
	$(PY) -m pip install -q --no-deps -e .
	touch $@

lint: setup
	$(PY) -m flake8 mountridge platform standins bench features tools
	$(PY) -m black --check -q mountridge platform standins bench features tools

format: setup
	$(PY) -m black -q mountridge platform standins bench features tools

# One process a feature, four at a time; each scenario is on its own. What one
# prints comes as a whole, so that no line of another stands within it.
test: setup
	printf '%s\n' $(FEATURES) | xargs -P 4 -I FEATURE sh -c '\
		out=$$(mktemp); \
		$(PY) -m behave --no-color --no-capture -f progress3 FEATURE \
			> $$out 2>&1; code=$$?; cat $$out; rm $$out; exit $$code'

demo: setup
	$(PY) -m standins.demo
	$(PY) -m standins.lab

.PHONY: lab
lab: setup
	$(PY) -m standins.lab $(LOAD)

bench: setup
	$(PY) -m bench.path

bench-maps: setup
	$(PY) -m bench.maps

plots: setup
	$(PY) -m pip install -q matplotlib
	$(PY) -m bench.maps docs/maps.png

mutants: setup
	$(PY) -m tools.mutants

slopes: setup
	$(PY) -m bench.control
	$(PY) -m bench.state

# Faults on real processes; then the seeds that failed once, faults put in
# that it must find, and schedules of the consensus core in virtual time.
SEED ?= 1
MINUTES ?= 2
COUNT ?= 2000
.PHONY: soak-seeds soak-mutants soak-schedules
soak: setup
	$(PY) -m tools.soak run --seed $(SEED) --minutes $(MINUTES)

soak-seeds: setup
	$(PY) -m tools.soak seeds

soak-mutants: setup
	$(PY) -m tools.soak mutants

soak-schedules: setup
	$(PY) -m tools.soak schedules $(SEED) $(COUNT)

bench-placing: setup
	$(PY) -m bench.placing

bench-shifts: setup
	$(PY) -m bench.shifts
