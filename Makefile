.PHONY: build test lint run toy

build:
	cargo build --release --locked

test:
	cargo test --locked

lint:
	cargo fmt --check
	cargo clippy --locked --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --no-deps --quiet

# Runs the scheduler with the example configuration; start the toy nodes beside it with `make toy`.
run: build
	GW_CONFIG=examples/config.json target/release/heathward --nvme examples/nvme.json

toy:
	cargo build --locked -p heathward-fakes
	target/debug/heathward-toy-node 127.0.0.1:9100 & target/debug/heathward-toy-node 127.0.0.1:9101; wait

# Measurements that a change must keep, each with its bound; exit code 1 if one is out of bounds.
.PHONY: measure-report measure-fleet measure-coldstart measure-slowstart measure-capacity
measure-report: build
	target/release/heathward-measure report

measure-fleet: build
	target/release/heathward-measure fleet

measure-coldstart: build
	target/release/heathward-measure coldstart

# The slow start of nodes with fleets of 30, 300 and 4,500 schedulers, over 200 seeds each.
measure-slowstart: build
	target/release/heathward-measure slowstart

# How each cost grows with size, and the bound of each slope: docs/capacity/series.csv and series.svg.
measure-capacity: build
	target/release/heathward-measure capacity

# Shutdowns and restarts drawn from random seeds, with a table; CI runs a few seeds.
.PHONY: soak
SEEDS ?= 50
FIRST ?= 1
soak: build
	target/release/heathward-measure soak $(FIRST) $(SEEDS)

# Bodies and replies of any size within the limit on memory, drawn from random seeds; CI runs a few seeds.
.PHONY: soak-memory
soak-memory: build
	target/release/heathward-measure memory-soak $(FIRST) $(SEEDS)

# Lists the bench runs that the current state lacks (exit code 1 if any, 2 without a bench); regression-run
# runs them one after the other.
.PHONY: regression regression-run journal
regression: build
	target/release/heathward-measure regression

WHY ?= The runs that this state owes
regression-run: build
	target/release/heathward-measure regression --run "$(WHY)"

# Scores by version: docs/journal.csv and docs/journal.svg, and the declines that are larger than chance.
journal: build
	target/release/heathward-measure journal

# Two more customer sites, with the files of the operators' kit that they need; git ignores those files.
.PHONY: sites
sites:
	cp -f ../given/kit/sites/wire.json ../given/kit/sites/real.json ../given/kit/sites/unlock.txt deploy/sites/
	cat ../given/kit/users/unlock.txt >> deploy/sites/unlock.txt
	chmod u+w deploy/sites/*.json deploy/sites/unlock.txt
