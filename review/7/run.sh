#!/bin/sh
# Another writer has entries among those of the workers, and all processes are killed.
cd "$(dirname "$0")/../.." || exit 2
exec target/release/review-standins-2 foreign review/7/record.txt
