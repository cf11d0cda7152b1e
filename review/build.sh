#!/bin/sh
# Builds the stand-ins of the review's scripts, after the build of the deploy file. They use the
# standard library only.
set -e
cd "$(dirname "$0")/_standins"
go build -trimpath -buildvcs=false -o ../../target/reviewstandins .
