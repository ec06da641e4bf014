#!/bin/sh
# Builds the stand-ins of the cases of review 2, into review/bin/. Run it in the root
# of the repository after the build of deploy/system.toml. It needs no network.
set -e
cd "$(dirname "$0")/standin-2"
mkdir -p ../bin
CGO_ENABLED=0 GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o ../bin/standin2 .
