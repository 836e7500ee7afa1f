#!/usr/bin/env bash
# Builds the program as deploy/system.toml does, and the driver with the stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/...
go build -o review/out/driver ./review/_driver
