#!/bin/sh
# Builds the stand-ins that the cases start, into review/bin. Needs the standard library only.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
cd _standin
GOFLAGS=-mod=mod GOPROXY=off GOWORK=off GOTOOLCHAIN=local go build -o ../bin/standin .
