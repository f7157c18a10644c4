#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 runs it
# without the disruption. Needs target/cyclamencourse (deploy file) and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cyclamencourse ] && [ -x target/review-2/cases ] || exit 2
timeout -k 1 118 target/review-2/cases late-bad-version review/10/record.txt "${TROUBLE:-1}"
status=$?
[ $status -le 1 ] || exit 2
exit $status
