#!/usr/bin/env bash
# Plays the case "hopeless"; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/build/command/skylarkd ] && [ -x target/review/review-case ] || {
  echo "build the deploy file and review/build.sh first"
  exit 2
}
exec target/review/review-case hopeless review/5
