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

# Runs everything as separate processes; DEMO_ARGS go to demo/run.sh.
demo: build
	demo/run.sh $(DEMO_ARGS)

# Compares policies on a virtual clock at peak load; BENCH_ARGS go to
# lavender-bench. docs/measurements.md explains the figures.
bench: build
	$(BIN)/lavender-bench --deployment pamoja $(BENCH_ARGS)
	$(BIN)/lavender-bench --deployment cymru $(BENCH_ARGS)

# Prints the slopes that docs/CAPACITY.md extrapolates.
capacity:
	GO=$(GO) ./scripts/capacity.sh

# Processor time and memory of the two programs; MEASURE_ARGS go to the script.
capacity-processes: build
	scripts/measure-processes.sh $(MEASURE_ARGS)

# Needs buf, protoc-gen-go and protoc-gen-go-grpc on the PATH. The output is
# committed, so a build does not need it.
generate:
	buf generate

clean:
	rm -rf $(BIN)
