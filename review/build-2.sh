#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases from 6 on start. It needs nothing but the Go tool chain.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
cd _standin2
GOWORK=off CGO_ENABLED=0 go build -buildvcs=false -o ../bin/standin2 .
