#!/bin/sh
# Builds the stand-in of the cases in review/6 to review/10.
set -eu
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-2/standin .
