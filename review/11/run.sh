#!/bin/sh
# A request gets the results of another one after a restart of the instance that schedules its
# stage. See claim.txt.
cd "$(dirname "$0")/../.." && exec target/review-3/cases inputs review/11/record.txt
