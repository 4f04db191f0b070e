#!/usr/bin/env bash
# See claim.txt. TROUBLE=0: without the disruption.
exec bash "$(dirname "${BASH_SOURCE[0]}")/../lib-2/run_case.sh" 10
