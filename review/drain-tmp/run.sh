#!/bin/bash
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
timeout -k 5 110 java -Xmx512m -Xss256k -Droot="$here/../.." -cp "$here/../out" SlowList "$here/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
