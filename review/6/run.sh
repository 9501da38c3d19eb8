#!/bin/sh
# Two workers crash one after the other, each while it runs the task of one job.
cd "$(dirname "$0")/../.." || exit 2
exec target/release/review-standins-2 crash review/6/record.txt
