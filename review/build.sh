#!/bin/sh
# Builds the stand-ins of the scripts with the standard library alone; no network is used.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
rustc --edition 2021 -O -o target/review-standin review/standin.rs
