# Start with `make demo` and `make test`. `make help` lists all targets.
BUILD      ?= build
DEPLOYMENT ?= camara
SEED       ?= 1
JOBS       ?= $(shell nproc)

.PHONY: help install build test demo format lint generate sanitize soak bench cost capacity clean
help:            ## lists the targets
	@grep -hE '^[a-z]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*##/\t/'
install:         ## installs the Debian packages that are missing
	@scripts/install-packages
build: install   ## builds every program and test
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null && cmake --build $(BUILD) -j $(JOBS)
test: build      ## runs all tests; passes over exactly the cases of KNOWN-RED.txt
	@scripts/run-tests $(BUILD)
demo: build      ## starts DEPLOYMENT (camara or quetzal) on loopback and drives its main job
	@scripts/demo $(DEPLOYMENT) $(BUILD)
format:          ## formats all sources in place
	@scripts/sources | xargs clang-format -i
lint: build      ## checks format and lint
	@scripts/lint $(BUILD)
generate:        ## regenerates src/gen from idl/
	@thrift -r --gen cpp:no_skeleton,moveable_types -out src/gen idl/waxwing.thrift
sanitize: install ## runs the tests under AddressSanitizer/UBSan, then ThreadSanitizer
	@scripts/sanitize
soak: build      ## runs the property tests longer, then the gateway under random faults: make soak SEED=7
	@scripts/soak $(BUILD) $(SEED)
bench: build     ## runs the micro benchmarks
	@$(BUILD)/waxwing-bench
cost:            ## measures processor time for a request beside a bare relay loop, and the log
	@cmake -S . -B $(BUILD)/release -DCMAKE_BUILD_TYPE=Release >/dev/null
	@cmake --build $(BUILD)/release -j $(JOBS) --target waxwing-gateway waxwing-bench-relay
	@bench/request-cost --bin $(BUILD)/release
capacity: build  ## measures the slopes that docs/CAPACITY.md uses
	@scripts/capacity $(BUILD)
	@scripts/capacity-processes $(BUILD)
clean:
	@rm -rf $(BUILD)
