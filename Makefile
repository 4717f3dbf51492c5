PYTHON ?= python3.11
BIN := .venv/bin

.PHONY: setup lock format lint test demo binary bench-serve matrix capacity clean

setup: .venv/installed

.venv/installed: requirements-dev.lock
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/python -m pip install --quiet --require-hashes -r requirements-dev.lock
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch .venv/installed

lock:
	$(BIN)/pip-compile -q --generate-hashes --no-emit-index-url --no-emit-find-links \
	    --no-emit-trusted-host --allow-unsafe --strip-extras \
	    requirements-dev.in -o requirements-dev.lock
	$(BIN)/pip-compile -q --generate-hashes --no-emit-index-url --no-emit-find-links \
	    --no-emit-trusted-host --allow-unsafe --strip-extras \
	    -c requirements-dev.lock requirements.in -o requirements.lock

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy currantdyke

test: setup
	$(BIN)/python build_tools/run_tests.py

demo: setup
	$(BIN)/python -m currantdyke demo

binary: setup
	bash build_tools/make_binary.sh
	$(BIN)/python build_tools/check_binary.py

bench-serve: setup
	mkdir -p docs/results
	$(BIN)/python -m currantdyke.benches.serve --output docs/results/serve.json

matrix: setup
	$(BIN)/python -m currantdyke.matrix --output docs/MATRIX.md

capacity: setup
	mkdir -p docs/results
	$(BIN)/python -m currantdyke.benches.capacity \
	    --output docs/results/state.json --page docs/CAPACITY.md

clean:
	rm -rf build dist .mypy_cache .ruff_cache .hypothesis

.PHONY: bench-decisions
bench-decisions: setup
	$(BIN)/python -m currantdyke.benches.decisions --out docs/results
.PHONY: model-check
model-check: setup
	$(BIN)/python -m currantdyke.modelcheck

SEED ?= 1
MINUTES ?= 0.5
.PHONY: soak
soak: setup
	$(BIN)/python -m currantdyke.soak --seed $(SEED) --minutes $(MINUTES)
