#!/bin/sh
# Builds the stand-ins of the second review's scripts, with the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/release
rustc --edition 2024 -O -o target/release/review-standins-2 review/standins-2/main.rs
