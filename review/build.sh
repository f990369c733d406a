#!/bin/sh
# Builds the stand-in that the scripts of the cases start. It needs the standard library only.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOWORK=off GOFLAGS= go build -o ../../target/review-standin .
