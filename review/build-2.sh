#!/usr/bin/env bash
# Builds every stand-in that a script of the cases 6 to 10 starts, from this repository alone. The system itself is
# built by the line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-drill ./review/_drill
