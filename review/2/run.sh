#!/usr/bin/env bash
# Machines are added while a full store host frees its oldest parts. Rule: MIXED.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/harness ] && [ -x target/release/boragereel-edge ] || exit 2
exec target/review/harness new_entry review/2
