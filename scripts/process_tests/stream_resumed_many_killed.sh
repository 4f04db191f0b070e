#!/usr/bin/env bash
# The same as stream_resumed_many.sh, while one router is killed.
KILL=1 exec bash "$(dirname "$0")/stream_resumed_many.sh"
