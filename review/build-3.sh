#!/bin/bash
# Builds the stand-ins of the third review's scripts.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin/review-3
go build -o bin/review-3/cases3 ./review/_cases3
