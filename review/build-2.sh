#!/bin/sh
# Builds the program that the scripts of the second review start, with its stand-ins.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/out
go build -o review/out/driver2 ./review/_driver2
