.PHONY: build test lint run toy

build:
	cargo build --release --locked

test:
	cargo test --locked

lint:
	cargo fmt --check
	cargo clippy --locked --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --no-deps --quiet

# The scheduler with the example's configuration; the toy nodes run beside it.
run: build
	GW_CONFIG=examples/config.json target/release/heathward --nvme examples/nvme.json

toy:
	cargo build --locked -p heathward-standin
	target/debug/heathward-toy-node 127.0.0.1:9100 & target/debug/heathward-toy-node 127.0.0.1:9101; wait

# Figures that a change must keep, each with its bound; exit code 1 when one falls short.
.PHONY: measure-report measure-fleet
measure-report: build
	target/release/heathward-measure report

measure-fleet: build
	target/release/heathward-measure fleet
