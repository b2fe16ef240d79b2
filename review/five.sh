#!/bin/sh
# Runs a case five times, and five times without its disruption: ./five.sh N. Prints the exit codes.
cd "$(dirname "$0")/$1" || exit 2
codes="" quiet=""
for run in 1 2 3 4 5; do
    TROUBLE=0 ./run.sh; quiet="$quiet $?"
done
for run in 1 2 3 4 5; do
    ./run.sh; codes="$codes $?"
done
echo "case $1: exit codes$codes; with TROUBLE=0:$quiet"
