#!/usr/bin/env bash
# Plays the case of claim.txt once. TROUBLE=0: the same without the disruption. Needs the build of the deploy file and
# review/build.sh. Exit code: 0 the rule held, 1 it was broken, 2 the case could not run. Writes record.txt.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
export RUN RECORD="$here/record.txt" TROUBLE="${TROUBLE:-1}"
[ -x review/out/platform ] && [ -x build-deploy/badgergrade ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
exec timeout -k 2 110 review/out/platform takeover
