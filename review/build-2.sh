#!/bin/sh
# Builds what the scripts of review/4 to review/8 start: the project's own program. Their stand-ins are written in Python with its
# standard library and need no build.
cd "$(dirname "$0")/.." || exit 2
cargo build --release --offline --package ladderstage-node || cargo build --release --package ladderstage-node
