#!/usr/bin/env bash
# Builds what the scripts of cases 4 to 8 start beside the deploy build: one program that is the
# state service, the cloud, the workers, the load balancer and the users of a case. It needs Go
# and no module beside the standard library.
set -euo pipefail
cd "$(dirname "$0")/play-2"
mkdir -p ../../target/review-2
GOFLAGS="${GOFLAGS:--buildvcs=false}" go build -o ../../target/review-2/play .
