GO ?= go
LINT_VERSION = v2.15.0
PROTO_GEN_VERSION = v1.36.12
BIN = bin

.PHONY: build test lint vet format generate demo bench capacity capacity-processes clean

build:
	$(GO) build -o $(BIN)/ ./cmd/...

test:
	./scripts/test.sh

vet:
	$(GO) vet ./...

lint:
	$(GO) run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION) run --allow-parallel-runners ./...

format:
	gofmt -l . | tee /dev/stderr | wc -l | grep -qx 0

# Runs the whole system as separate processes. DEMO_ARGS are passed to demo/run.sh.
demo: build
	demo/run.sh $(DEMO_ARGS)

# Compares policies on a virtual clock at peak load. BENCH_ARGS are passed to
# lavender-bench. docs/measurements.md explains the figures.
bench: build
	$(BIN)/lavender-bench --deployment pamoja $(BENCH_ARGS)
	$(BIN)/lavender-bench --deployment cymru $(BENCH_ARGS)

# Prints the benchmark results from which docs/CAPACITY.md extrapolates.
capacity:
	GO=$(GO) ./scripts/capacity.sh

# Measures processor time and memory of lavender-entry and lavender-controller.
# MEASURE_ARGS are passed to the script.
capacity-processes: build
	scripts/measure-processes.sh $(MEASURE_ARGS)

# Needs buf, protoc-gen-go and protoc-gen-go-grpc in PATH. The generated files are
# committed, so a build does not need this target.
generate:
	buf generate

clean:
	rm -rf $(BIN)
