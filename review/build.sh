#!/usr/bin/env bash
# Builds the stand-ins that the cases start.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target
GOFLAGS="${GOFLAGS:--buildvcs=false}" GOWORK=off GOTOOLCHAIN="${GOTOOLCHAIN:-local}" go build -o ../target/standin ./standin
