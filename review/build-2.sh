#!/usr/bin/env bash
# Builds the stand-ins and the player of the scripts in 6 to 10, after the build line of deploy/system.toml. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-kit2 ./review/kit2
