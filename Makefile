# `make demo` and `make test` are the only two commands that a new contributor needs.
.PHONY: setup build demo test test-sanitized bench bench-short format format-check lint

setup:
	@tools/install_dependencies

build: setup
	@cmake --preset release >/dev/null
	@cmake --build --preset release

demo: build
	build/cyclamencourse demo

test: build
	ctest --preset release -j 4

test-sanitized: setup
	cmake --preset asan >/dev/null && cmake --build --preset asan && ctest --preset asan -j 4
	cmake --preset tsan >/dev/null && cmake --build --preset tsan && ctest --preset tsan -j 4

format: setup
	tools/format

format-check: setup
	tools/format --check

lint: build
	tools/lint

# Runs the experiments of both deployments. Prints one JSON line per measure and keeps the results by
# date in bench/history.
bench: build
	bench/run bench/*-*.json

# Runs the subset of the experiments that takes at most 45 s once built.
bench-short: build
	bench/run bench/lantern-engine-killed.json bench/touwbaan-engine-silent.json
