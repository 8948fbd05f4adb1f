#!/bin/sh
# Exits 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
. "$(dirname "$0")/../parts/run.sh"
