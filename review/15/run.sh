#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
if [ ! -x target/review3 ] || [ ! -x target/comfreyrouter ]; then
  echo "build the programs first: the build line of deploy/system.toml, then review/build-3.sh"
  exit 2
fi
exec target/review3 repeated-order review/15
