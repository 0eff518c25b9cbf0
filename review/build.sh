#!/bin/sh
# Builds what the scripts of review/ start. The entry instances are those of the deploy file's
# build; the store, the servers and the consumers are in review-rig.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/rig
