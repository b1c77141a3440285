#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases into target/review, after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review/ ./cmd/foxtailhub-standin
go build -buildvcs=false -tags review -o target/review/ ./review/server ./review/darkserver
for folder in review/[1-5]; do
	[ -f "$folder/main.go" ] || continue
	go build -buildvcs=false -tags review -o "target/$folder" "./$folder"
done
