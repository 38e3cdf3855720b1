#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 and later into target/review-2. They use the
# standard library only, so nothing is fetched.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! command -v rustc >/dev/null; then
  export PATH="$HOME/.cargo/bin:$PATH"
fi
mkdir -p target/review-2
rustc -O --edition 2024 -o target/review-2/world review/standins-2/world.rs
