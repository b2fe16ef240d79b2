# `make run`: a node with stand-in engines on loopback. `make test`: all tests.
.PHONY: run test install
PYTHON ?= python3
TEST_PROCESSES ?= 4

install: .venv/installed

.venv/installed: requirements.txt requirements-dev.txt pyproject.toml
	test -x .venv/bin/python || $(PYTHON) -m venv .venv
	.venv/bin/pip -q install -r requirements-dev.txt
	.venv/bin/pip -q install --no-deps -e .
	touch $@

run: install
	.venv/bin/aniserudder serve --standins examples/node.yaml

test: install
	.venv/bin/ruff check --quiet aniserudder tests
	.venv/bin/python -m pytest -q -n $(TEST_PROCESSES) --dist loadfile
