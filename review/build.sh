#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Needs no network once the
# modules of the project are there.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin ./review/standin
