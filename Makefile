# Targets: build, test, fuzz, lint, demo, bench, bench-compare, soak, soak-cell, generate. Each installs what it
# needs through the Go module proxy; no other download is made.

GO ?= go
BIN := bin
# Packages whose tests run under the race detector.
RACE ?= -race

.PHONY: build test fuzz lint demo bench bench-compare soak soak-cell generate clean

build:
	$(GO) build -o $(BIN)/ ./cmd/...

test: build
	$(GO) test $(RACE) -count=1 -timeout 20m $(GOTESTFLAGS) ./...

# Runs FUZZTIME inputs through each fuzz test of the packages: a number of them, since with a time the go command
# reports inputs that it cuts off at the end as failed. Inputs that fail are kept under testdata/fuzz; commit them.
FUZZTIME ?= 50000x
FUZZPACKAGES ?= ./sched ./platform
fuzz:
	@set -e; for p in $(FUZZPACKAGES); do for f in $$($(GO) test -list '^Fuzz' $$p | grep '^Fuzz'); do \
		echo "fuzz $$p $$f"; \
		out=$$($(GO) test -run '^$$' -fuzz "^$$f\$$" -fuzztime $(FUZZTIME) $$p 2>&1) || { echo "$$out"; exit 1; }; \
		done; done

lint:
	@out=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$out" ]; then echo "gofmt: $$out"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Needs protoc (Debian package protobuf-compiler). The generated code is committed.
generate:
	mkdir -p $(BIN)
	$(GO) build -o $(BIN)/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	$(GO) build -o $(BIN)/protoc-gen-go-drpc storj.io/drpc/cmd/protoc-gen-go-drpc
	PATH="$(CURDIR)/$(BIN):$$PATH" protoc --go_out=. --go_opt=paths=source_relative \
		--go-drpc_out=. --go-drpc_opt=paths=source_relative rpc/*.proto

clean:
	rm -rf $(BIN)

demo: build
	$(BIN)/sassafras-demo

# SOAK is the length of the random schedule of faults, SEED its seed.
SOAK ?= 2m
SEED ?= 1
soak: build
	$(GO) test -count=1 -timeout 60m -run TestSoak -v ./internal/cluster -soak $(SOAK) -seed $(SEED)

# The same for the daemon on the users' platform: SEEDS from first to last, faults
# for SOAK_EACH, with DAEMONS processes.
SEEDS ?= 1-50
SOAK_EACH ?= 6s
DAEMONS ?= 4
soak-cell:
	$(GO) test -count=1 -timeout 60m -run TestSoak -v ./platform -seeds $(SEEDS) -soak $(SOAK_EACH) -daemons $(DAEMONS)

# Prints the three measures with their baselines and fails on a target that is
# missed and not listed in docs/CAPACITY.md. SAVE=file keeps the figures.
bench: build
	$(GO) run ./internal/benchtable $(if $(SAVE),--save=$(SAVE))

# Compares two saved runs: make bench-compare OLD=a NEW=b.
bench-compare:
	$(GO) tool benchstat $(OLD) $(NEW)
