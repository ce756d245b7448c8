#!/bin/sh
# Builds the stand-ins of the second review's cases (6 to 10) with the tool chain of the project, without a
# network: they use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in large_fleet cut_answer limit_twice half_call; do
  rustc --edition 2021 -C opt-level=2 -A dead_code -o "target/review-2/$name" "review/stands-2/$name.rs"
done
