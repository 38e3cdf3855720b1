#!/usr/bin/env bash
# Two machines of a zone lose their way to the store; then a server leaves. Rule: DRAIN.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/harness ] && [ -x target/release/boragereel-edge ] || exit 2
exec target/review/harness stale_list review/4
