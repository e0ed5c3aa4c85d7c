#!/bin/bash
# Builds what the scripts of the cases start, beside the programs of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/cases review/platform/main.rs
