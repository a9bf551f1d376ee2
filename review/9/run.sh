#!/bin/sh
# See claim.txt. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
exec sh "$here/../src-2/case.sh" "$here" CrowdCase reads 192 1024 300 500
