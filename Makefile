# Two commands for a newcomer: `make demo` and `make test`.
BUILD ?= build
SUDO := $(shell test "$$(id -u)" = 0 || echo sudo)
PACKAGES := $(shell cat packages.txt)

.PHONY: packages build test demo processes check-style measure bench clean

packages:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || ( \
	  $(SUDO) apt-get update -qq && \
	  DEBIAN_FRONTEND=noninteractive $(SUDO) apt-get install -y -qq \
	    --no-install-recommends $(PACKAGES) )

build: packages
	cmake -S . -B $(BUILD) -G Ninja $(CMAKE_FLAGS) >/dev/null
	cmake --build $(BUILD)

test: build
	scripts/run_tests $(BUILD)

demo: build
	$(BUILD)/src/main/burdockring demo

processes: build
	scripts/processes $(BUILD)/src/main/burdockring

check-style:
	scripts/check_style

measure: build
	scripts/measure_tables $(BUILD)/src/main/burdockring

bench: build
	$(BUILD)/bench/burdockring_bench
	$(BUILD)/bench/burdockring_forwarding_bench

clean:
	rm -rf $(BUILD)
