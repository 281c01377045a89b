#!/usr/bin/env bash
# Builds the stand-ins of all cases, with the compiler alone: they need no package and no network.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target
for source in standins/case[0-9].rs standins/mixed.rs; do
    name=$(basename "$source" .rs)
    rustc --edition 2021 -O -o "target/$name" "$source"
done
