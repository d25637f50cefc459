#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
exec python3 -B case.py
