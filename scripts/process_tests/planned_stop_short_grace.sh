#!/usr/bin/env bash
# The platform kills a stopped process after a second: no call that a router took may be lost.
STOP_GRACE_MS=1000 exec bash "$(dirname "$0")/planned_stop.sh"
