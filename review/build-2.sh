#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the program of the deploy file: stand-ins of
# the store and the runners, clients, and the checks. Needs only packages that the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -o target/review-2/cases review/lib-2/harness.cpp review/lib-2/cases.cpp -pthread
