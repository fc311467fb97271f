#!/bin/bash
# Builds the stand-ins of the second review, with the compiler alone: no crate, no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in 6 7 8 9 10; do
    if [ -f "review/$case/case.rs" ]; then
        rustc --edition 2021 -O -A warnings --crate-name "case_$case" -o "target/review-2/case-$case" "review/$case/case.rs"
    fi
done
