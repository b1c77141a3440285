#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts of review/11 and later start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/ ./cmd/foxtailhub-standin
go build -tags review -o target/review-3/ ./review/common/rig
