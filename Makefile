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
	cargo build --locked -p heathward-fakes
	target/debug/heathward-toy-node 127.0.0.1:9100 & target/debug/heathward-toy-node 127.0.0.1:9101; wait

# Figures that a change must keep, each with its bound; exit code 1 when one falls short.
.PHONY: measure-report measure-fleet measure-coldstart measure-slowstart measure-capacity
measure-report: build
	target/release/heathward-measure report

measure-fleet: build
	target/release/heathward-measure fleet

measure-coldstart: build
	target/release/heathward-measure coldstart

# The slow start of cold nodes before fleets of 30, 300 and 4,500 schedulers, over 200 seeds each.
measure-slowstart: build
	target/release/heathward-measure slowstart

# How each cost grows with the size, each slope with its bound: docs/capacity/series.csv and series.svg.
measure-capacity: build
	target/release/heathward-measure capacity

# Shutdowns and restarts drawn from seeds, with a table; CI plays a few.
.PHONY: soak
SEEDS ?= 50
FIRST ?= 1
soak: build
	target/release/heathward-measure soak $(FIRST) $(SEEDS)

# Which runs of the bench the present state owes (exit code 1 where one is, 2 without a bench); plays them in turn.
.PHONY: regression regression-run journal
regression: build
	target/release/heathward-measure regression

WHY ?= The runs that this state owes
regression-run: build
	target/release/heathward-measure regression --run "$(WHY)"

# Scores by version: docs/journal.csv and docs/journal.svg, and which falls are larger than chance.
journal: build
	target/release/heathward-measure journal

# Two more customers' sites, with what the operators' kit wants beside them; git ignores that part.
.PHONY: sites
sites:
	cp -f ../given/kit/sites/wire.json ../given/kit/sites/real.json ../given/kit/sites/unlock.txt deploy/sites/
	cat ../given/kit/users/unlock.txt >> deploy/sites/unlock.txt
	chmod u+w deploy/sites/*.json deploy/sites/unlock.txt
