#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15. Run it after the build of
# deploy/system.toml, from any folder.
set -eu
cd "$(dirname "$0")/.."
go build -trimpath -o target/review-3/cases ./review/_standins-3
