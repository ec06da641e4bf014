#!/bin/sh
# Case 4: the machine that follows the store freezes just before the desired state changes, in a deployment of one region.
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/case 4 review/4
