#!/bin/sh
# Builds the programs of the cases into review/bin. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
for folder in review/[1-5]; do
	[ -f "$folder/main.go" ] || continue
	go build -o "review/bin/case$(basename "$folder")" "./$folder"
done
