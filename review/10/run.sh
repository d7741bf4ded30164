#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sassafraslb-cell ] && [ -x target/review-2/case-10 ] || { echo "not built"; exit 2; }
exec target/review-2/case-10 review/10
