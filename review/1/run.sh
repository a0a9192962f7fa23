#!/usr/bin/env bash
# Case 1: an engine that has left the store still gets requests. TROUBLE=0: without the disruption.
exec "$(dirname "$0")/../run_case.sh" 1
