.PHONY: soak build check demo demo-up lint test generate bench

build:
	go build -o bin/gentiangauge .
	go build -o bin/standin ./standin/run

demo: build
	demo/demo.sh run

demo-up: build
	demo/demo.sh up

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...
	go tool staticcheck ./...
	go tool revive -config revive.toml -set_exit_status ./...

# RED names the tests of KNOWN-RED.txt, separated by |, that CI passes over. The tests of crowds measure
# processes, so they run one at a time and after all others.
test:
	go test -count=1 -skip '^($(if $(RED),$(RED)|)TestCrowd.*)$$' ./...
	go test -count=1 -p 1 -run '^TestCrowd' $(if $(RED),-skip '^($(RED))$$') ./platform ./proof

check: lint test

generate:
	go generate ./...

bench:
	go test -run '^$$' -bench . ./...

# Injects faults into real processes: make soak SEED=7 SECONDS=60.
soak:
	SOAK_SEED=$(or $(SEED),1) SOAK_SECONDS=$(or $(SECONDS),60) go test -count=1 -timeout 30m -run '^TestSoak$$' -v ./platform
