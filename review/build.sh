#!/bin/sh
# Builds what the scripts of the review start. The daemon itself comes from the
# build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rm -f target/review/*
for main in review/[0-9]*/main.go; do
	case=$(basename "$(dirname "$main")")
	go build -tags review -o "target/review/case$case" "./review/$case"
done
