#!/bin/sh
# case.sh FOLDER CLASS ARGUMENTS: runs a case. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
folder=$(cd "$1" && pwd) || exit 2
shift
cd "$folder/../.." || exit 2
class=$1
shift
if [ ! -f target/hollyslip.jar ] || [ ! -f "target/review-2/$class.class" ]; then
  echo "run the build of deploy/balancer.toml and review/build-2.sh first" >&2
  exit 2
fi
# At the time limit TERM ends the stand-ins, and they end the scheduler.
timeout -k 5 110 java -Xmx1g -cp target/review-2 Kit "$class" . "$folder" "$@"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
