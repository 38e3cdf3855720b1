#!/usr/bin/env bash
# A configuration makes a tenant isolated whose prompts were read before. Rule: WALL.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/harness ] && [ -x target/release/boragereel-edge ] || exit 2
exec target/review/harness wall review/3
