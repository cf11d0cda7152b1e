#!/bin/sh
# Large entries of another writer keep all gateways from the store's changes. See claim.txt.
cd "$(dirname "$0")/../.." && exec target/review-3/cases entries review/12/record.txt
