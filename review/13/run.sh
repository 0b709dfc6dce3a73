#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 kills no front;
# SHORTER=0 leaves the timeout of the route as it is.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/referee ] && [ -x target/gentiangauge ] || { echo "target/referee or target/gentiangauge is missing"; exit 2; }
exec target/referee shorter review/13
