#!/usr/bin/env bash
# Two machines are gone for good; later a store host restarts, empty. Rule: MIXED.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/harness ] && [ -x target/release/boragereel-edge ] || exit 2
exec target/review/harness lost_relays review/1
