#!/usr/bin/env bash
# The whole check of this repository: format, lints, tests (what the decision module may depend on among them). Tests that
# KNOWN-RED.txt lists, and no others, are passed over and printed; .ci/known-red says how strictly.
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked
known=()
if [ -e KNOWN-RED.txt ]; then
    listed=$(cargo test --workspace --locked -q -- --list)
    passed_over=$(.ci/known-red KNOWN-RED.txt <<<"$listed")
    [ -z "$passed_over" ] || mapfile -t known <<<"$passed_over"
fi
cargo test --workspace --locked -- "${known[@]}"
