#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the loss of
# power and the drill, DRILL=0 only the drill.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/referee ] && [ -x target/gentiangauge ] || { echo "target/referee or target/gentiangauge is missing"; exit 2; }
exec target/referee lostrow review/15
