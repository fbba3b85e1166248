#!/usr/bin/env bash
# A second way to the same rule, with five gateways; exit codes, TROUBLE=0 and record.txt as in run.sh.
cd "$(dirname "$0")" && exec python3 again.py
