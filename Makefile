TOOLS := tools/bin

.PHONY: build test check generate demo tools

build:
	@mkdir -p bin
	go build -o bin/ ./cmd/...

# Tests that KNOWN-RED.txt lists, each on a line "skip: NAME".
KNOWN_RED := $(shell sed -n 's/^skip: //p' KNOWN-RED.txt | paste -sd '|' -)

# The tests with real processes take about ten minutes. Those of platform/crowd measure
# the memory of processes and run alone after the others, without the race detector: it
# does not change the program that they start, and slows the crowd.
test:
	go test -race -count=1 -timeout 30m $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') $$(go list ./... | grep -v /platform/crowd$$)
	go test -count=1 -timeout 30m $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') ./platform/crowd

# Formatter, linters and the house rules that they don't know.
check: tools
	@test -z "$$($(TOOLS)/gofumpt -l $$(git ls-files '*.go' | grep -v -E '(_gen|\.pb)\.go$$'))" || \
		{ $(TOOLS)/gofumpt -l $$(git ls-files '*.go' | grep -v -E '(_gen|\.pb)\.go$$'); echo "gofumpt would change these files"; exit 1; }
	go vet ./...
	$(TOOLS)/staticcheck ./...
	cd tools && go run ./stylec ..

tools:
	cd tools && go build -o bin/ honnef.co/go/tools/cmd/staticcheck mvdan.cc/gofumpt

generate:
	cd tools && go build -o bin/ github.com/ogen-go/ogen/cmd/ogen github.com/bufbuild/buf/cmd/buf google.golang.org/protobuf/cmd/protoc-gen-go
	PATH=$(CURDIR)/$(TOOLS):$$PATH go generate ./...

demo: build
	go run ./cmd/demo
