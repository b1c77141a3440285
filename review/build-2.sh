#!/usr/bin/env bash
# Builds the programs that the scripts of the cases 6 to 10 start, beside the gateway, which the build line
# of deploy/system.toml builds.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -buildvcs=false -o target/review-2/ ./cmd/foxtailhub-standin
go build -buildvcs=false -tags review -o target/review-2/engine ./review/rig/engine
for folder in review/6 review/7 review/8 review/9 review/10; do
	if [ -f "$folder/main.go" ]; then
		go build -buildvcs=false -tags review -o "target/review-2/case-${folder##*/}" "./$folder"
	fi
done
