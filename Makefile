# For newcomers: `make demo` shows the system at work, `make check` runs all
# tests. Everything else goes through CMake and its presets.

BUILD ?= build/release

.PHONY: demo check build

build:
	scripts/install-packages
	cmake --preset release
	cmake --build --preset release

demo: build
	python3 tests/system/demo.py --build $(BUILD)

check: build
	ctest --test-dir $(BUILD) --output-on-failure -j 4
