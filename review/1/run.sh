#!/usr/bin/env bash
# A worker's restart under its id, and later a cut of the dispatcher's zone: its tasks run twice at a time.
# Run it after the build line of deploy/system.toml and review/build.sh. TROUBLE=0 leaves the disruption out.
set -euo pipefail
cd "$(dirname "$0")/../.."
for program in target/comfreyrouter target/review-kit; do
  [ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
exec target/review-kit -record review/1/record.txt reborn
