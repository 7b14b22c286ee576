#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Writes record.txt beside this file.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
exec timeout 118 python3 -B case.py
