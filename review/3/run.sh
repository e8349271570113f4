#!/usr/bin/env bash
# Plays case 3: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
# run. TROUBLE=0 leaves the disruption out. Needs target/baobabstepd (the build of
# deploy/system.toml) and review/build.sh.
set -u
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/baobabstepd ] || [ ! -x review/bin/3 ]; then
  echo "not built: target/baobabstepd or review/bin/3"
  exit 2
fi
exec review/bin/3 review/3
