#!/bin/sh
# Builds what the scripts of review/11 to review/15 start beside the product: one program without
# dependencies, in target/review-3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O review/third/platform/main.rs -o target/review-3/stage
