#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. The build of the deploy file comes before.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -tags review3 -o target/review-3/ ./review/standin-3
mv target/review-3/standin-3 target/review-3/standin
