# Targets for building, testing, benchmarks and CI. `make help` lists them.
BUILD ?= build
JOBS ?= $(shell nproc)
SOURCES = $(shell git ls-files -co --exclude-standard '*.cc' '*.h' | grep -v '\.pb\.')

.PHONY: help deps build test sanitize demo demo-keep bench bench-path bench-control bench-admission format format-check lint include-check ci

help:
	@echo "make demo   install dependencies, build, run a demo of all processes on loopback"
	@echo "make demo-keep  the same demo, left running until Ctrl-C"
	@echo "make test   install dependencies, build, run every test"
	@echo "make sanitize  run the unit tests, simulations and flow processes under sanitizers"
	@echo "make bench  compare the balancing policies; tables and plots are written to out/"
	@echo "make bench-path  compare balancer and agent with plain UDP relays on loopback"
	@echo "make bench-control  measure scaling of the control plane and cost of the data path, to out/"
	@echo "make bench-admission  compare the admission policies of the flow path, to out/"
	@echo "make format | lint | include-check"

deps:
	@tools/install_deps.sh

$(BUILD)/build.ninja: CMakeLists.txt tests/CMakeLists.txt
	@cmake -S . -B $(BUILD) -G Ninja > /dev/null

build: deps $(BUILD)/build.ninja
	@cmake --build $(BUILD) -j $(JOBS)

# A first report ends the process, so that a test cannot pass beside it.
sanitize: export UBSAN_OPTIONS = halt_on_error=1:print_stacktrace=1
sanitize: deps
	@cmake -S . -B $(BUILD)-sanitize -G Ninja -DCACTUSCROSS_SANITIZE=ON > /dev/null
	@cmake --build $(BUILD)-sanitize -j $(JOBS) --target cactuscross cactuscross_tests
	@$(BUILD)-sanitize/tests/cactuscross_tests --quiet
	@tests/run_flow_processes.sh $(BUILD)-sanitize

demo: build
	@python3 -B demo/demo.py $(BUILD)

demo-keep: build
	@python3 -B demo/demo.py $(BUILD) --keep

test: build
	@tools/run_tests.sh $(BUILD)

bench: build
	@mkdir -p out
	@$(BUILD)/bench/cactuscross_bench --jobs $(JOBS) --out out | tee out/bench.txt
	@cd out && gnuplot bench.gp && echo "out/bench.txt, out/bench.csv, out/bench.png"

bench-path: build
	@mkdir -p out
	@python3 -B tests/perf/bench_path.py $(BUILD) | tee out/bench-path.txt

bench-control: build
	@mkdir -p out
	@$(BUILD)/bench/control/data_path_bench --out out/data_path.csv
	@$(BUILD)/bench/control/control_bench --sizes 25 50 100 200 --out out/control_slopes.csv
	@$(BUILD)/bench/control/control_bench --sizes 400 --scenarios steady change deaths --out out/control_slopes_400.csv
	@python3 bench/control/summarize.py out/control_slopes.csv out/control_slopes_400.csv

bench-admission: build
	@mkdir -p out
	@$(BUILD)/bench/admission/admission_bench | tee out/bench-admission.txt

format:
	@clang-format -i $(SOURCES)

format-check: deps
	@clang-format --dry-run -Werror $(SOURCES)

lint: build
	@tools/lint.py $(BUILD)

include-check:
	@tools/include_check.sh

ci: format-check include-check build lint test
