#!/usr/bin/env bash
# Starts the stand-ins of the walk; Ctrl-C ends them all. Run from the root of the repository after the build.
set -euo pipefail
bench=${BENCH:-target/debug/ladderstage-bench}
trap 'kill $(jobs -p) 2>/dev/null' EXIT
$bench stand-in key-value --listen 127.0.0.1:19001 &
$bench stand-in machine-list --listen 127.0.0.1:19002 --machines examples/walk/machines.json &
$bench stand-in scorer --listen 127.0.0.1:19003 &
$bench stand-in weight-store --listen 127.0.0.1:19004 --newest-version 2 &
$bench stand-in engine --listen 127.0.0.1:19011 --name karm-lm-1 --model karm-lm --version 1 --weight-store http://127.0.0.1:19004 &
$bench stand-in engine --listen 127.0.0.1:19012 --name karm-lm-2 --model karm-lm --version 1 --weight-store http://127.0.0.1:19004 &
$bench stand-in application --listen 127.0.0.1:19021 --name prisverk-1 &
wait
