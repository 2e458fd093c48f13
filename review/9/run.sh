#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. record.txt has what was sent, answered and run.
cd "$(dirname "$0")" || exit 2
if [ ! -x ../bin/standin2 ] || [ ! -x ../../bin/brassmux ]; then
	echo "run the build of deploy/balancer.toml and review/build-2.sh first" >&2
	exit 2
fi
exec ../bin/standin2 restart "$(cd ../.. && pwd)" "$PWD/record.txt"
