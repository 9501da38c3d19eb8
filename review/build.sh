#!/bin/sh
# Builds the stand-ins of the cases, without any dependency.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/review-standin review/standin/main.rs
