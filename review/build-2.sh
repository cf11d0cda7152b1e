#!/bin/sh
# Builds the stand-ins of the second review into target/review-2/. It needs no network: the
# module has no dependencies. The build of the deploy file makes the gateway itself.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -C review/_standins-2 -trimpath -o "$PWD/target/review-2/standins" .
