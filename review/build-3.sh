#!/usr/bin/env bash
# Builds the stand-ins of the third review. Run it in the repository after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review3 ./review/kit3
