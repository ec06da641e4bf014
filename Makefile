# Build, demo, test and measure dandelionrack. Needs Go and make only.
GO ?= go
DEPLOYMENT ?= kallitexnis

.PHONY: all build demo test lint generate scenarios bench soak fuzz clean

all: build

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	./bin/drdemo --deployment $(DEPLOYMENT) --bin bin

# Figures need a quiet machine. BENCH takes flags, such as --only=latency.
bench: build
	./bin/drbench --bin bin $(BENCH)

# Tests that are known to fail, from the "test:" lines of KNOWN-RED.txt.
KNOWN_RED := $(shell sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd '|' -)

# Tests of the memory of whole processes, which run apart from all others.
APART := ./test/clients

# Without the test cache: scenario tests run programs that it does not track.
test: lint
	$(GO) test -count=1 -timeout 9m $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') $$($(GO) list ./... | grep -v '/test/clients$$')
	$(GO) test -count=1 -timeout 9m $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') $(APART)

lint:
	@out=$$(gofmt -l $$(git ls-files '*.go' | grep -v '\.pb\.go$$')); \
	if [ -n "$$out" ]; then echo "gofmt needed:"; echo "$$out"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Needs protoc; the generated files are committed, so a build does not.
generate:
	$(GO) build -o bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	protoc --plugin=bin/protoc-gen-go --go_out=. --go_opt=paths=source_relative pkg/wire/wire.proto

# The tests of whole deployments that are too long for every test run.
scenarios:
	SCENARIOS=all $(GO) test -count=1 -timeout 20m ./test/scenarios

# Entry instances of the users' platform under faults, with new seeds. SOAK takes
# flags, such as --seed=7 --verbose.
SOAK ?= --runs=50
soak: build
	./bin/drsoak --bin bin $(SOAK)

# Runs every fuzz target for FUZZTIME; CI runs only their seed corpora.
FUZZTIME ?= 60s
fuzz:
	@for p in $$(grep -rl --include='*_test.go' '^func Fuzz' . | xargs -n1 dirname | sort -u); do \
		for f in $$(grep -ho '^func Fuzz[A-Za-z]*' $$p/*_test.go | cut -d' ' -f2); do \
			echo "$$p $$f"; \
			$(GO) test $$p -run '^$$' -fuzz "^$$f$$" -fuzztime $(FUZZTIME) -parallel 4 || exit 1; \
		done; \
	done

clean:
	rm -rf bin out
