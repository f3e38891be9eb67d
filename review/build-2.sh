#!/bin/sh
# Builds what the scripts of review/4 to review/8 start. Their stand-ins are written in Python and need no build.
cd "$(dirname "$0")/.." && exec cargo build --release --package ladderstage-node
