#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into review/standin-3/bin. It needs Go only.
set -eu
cd "$(dirname "$0")/standin-3"
mkdir -p bin
GOWORK=off GOFLAGS=-mod=mod go build -o bin/drill .
