#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/pinereel ] && [ -x target/review-standin ] || {
    echo "build target/release/pinereel and run review/build.sh first" >&2
    exit 2
}
exec target/review-standin partition review/1/record.txt
