#!/bin/sh
# Checks the stand-ins of the scripts of the third review. They are plain JavaScript with no dependency, so there is nothing to compile.
cd "$(dirname "$0")" || exit 2
for file in harness-3/*.js 1[1-5]/*.js; do
	if [ -e "$file" ]; then
		node --check "$file" || exit 1
	fi
done
