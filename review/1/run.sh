#!/bin/sh
# Plays the case; TROUBLE=0 leaves out the planned stops of balancers.
cd "$(dirname "$0")/../.." || exit 2
exec python3 -B review/1/play.py
