#!/bin/sh
# The scripts and stand-ins of the cases are plain JavaScript without dependencies. Checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in support/*.js [1-5]/*.js; do
	if [ -e "$file" ]; then node --check "$file"; fi
done
