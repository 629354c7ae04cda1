#!/bin/sh
# Plays the case; TROUBLE=0 leaves out the outage of the store.
cd "$(dirname "$0")/../.." || exit 2
exec python3 -B review/5/play.py
