#!/usr/bin/env bash
# Builds the program that plays the cases of review 2, with all of its stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review2
go build -o target/review2/review2 ./review/_kit2
