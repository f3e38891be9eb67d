#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption;
# TROUBLE=disks: two disks are lost one after the other instead of the kill; TROUBLE=small and
# TROUBLE=small-disks: the same disruptions with short texts. KEEP_LOGS=1 keeps the logs of the processes.
cd "$(dirname "$0")" && exec python3 -B case.py
