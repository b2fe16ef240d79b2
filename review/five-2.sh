#!/bin/sh
# Runs a case five times with the disruption and once without: five-2.sh N. Prints the exit codes and the first lines of each record.
cd "$(dirname "$0")/$1" || exit 2
for run in 1 2 3 4 5; do
    ./run.sh > /dev/null 2>&1; code=$?
    echo "case $1, run $run: exit $code"; sed -n 1,3p record.txt
done
TROUBLE=0 ./run.sh > /dev/null 2>&1; code=$?
echo "case $1, TROUBLE=0: exit $code"; sed -n 1,3p record.txt
