#!/usr/bin/env bash
# The whole check of this repository: format, lints, tests (the limits on the decision module among them).
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
cargo test --workspace --locked
