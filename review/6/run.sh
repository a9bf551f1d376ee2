#!/bin/bash
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
jar="$root/target/hollyslip.jar"
record="$here/record.txt"
started=$(date +%s%N)
: > "$record"
[ -f "$jar" ] || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
work=$(mktemp -d) || exit 2
pids=()
note() { printf '%8s %s\n' "$(( ($(date +%s%N) - started) / 1000000 ))ms" "$*" >> "$record"; }
finish() {
  exec 3>&- 4>&- 5>&-
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  sed 's/^/gateway log: /' "$work/gateway.log" >> "$record" 2>/dev/null
  rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' TERM INT
cannot() { note "cannot run: $*"; echo "cannot run: $*" >&2; exit 2; }

# Three disk servers with a shard of 64 MiB each.
declare -A port
server() { # number, descriptor of its standard input
  mkfifo "$work/in-$1"
  java -jar "$jar" standin --name "store-$1" --shard-mib 64 < "$work/in-$1" > "$work/out-$1" 2>&1 &
  pids+=($!)
  eval "exec $2> '$work/in-$1'"
  for _ in $(seq 100); do
    port[$1]=$(sed -n 's/^port //p' "$work/out-$1")
    [ -n "${port[$1]}" ] && { note "store-$1 listens at port ${port[$1]}"; return; }
    sleep 0.1
  done
  cannot "store-$1 does not listen"
}
server 0 3
server 1 4
server 2 5

cat > "$work/site.star" <<STAR
gateway("gateway-a", index = 0, hosts = 1, zone = "hall-a", socket_dir = "run", state_dir = "state",
        unit_bytes = 4 * KiB, most_requests = 8192, most_bytes = 256 * MiB, hosted = True, cores = 2)
rules(drain_grace = seconds(1), cold_from = 0.2, cold = seconds(5), fall_multiple = 3, fall = seconds(2),
      settle = ms(300), budget_share = 0.5, budget_free = 20, budget_window = seconds(5), most_attempts = 4,
      most_retry_after = ms(500))
store(mean_units = 2, most_units = 16, cold_units = 60)
request_class("lookup", kinds = ["read"], most_bytes = 16 * KiB, effect = "safe", aim = ms(150),
              deadline = seconds(2), worth = 2)
request_class("bulk-read", kinds = ["read"], effect = "safe", aim = ms(600), deadline = seconds(4), worth = 1)
request_class("update", kinds = ["write", "flush", "discard", "write_zeroes"], effect = "unsafe",
              aim = ms(250), deadline = seconds(2), worth = 3)
plan("standard", rate = 800, reserve = 100, weight = 1, price = 1)
node("store-0", port = ${port[0]}, zone = "hall-a", shard = 0, capacity = 5000, bytes = 64 * MiB)
node("store-1", port = ${port[1]}, zone = "hall-b", shard = 1, capacity = 5000, bytes = 64 * MiB)
node("store-2", port = ${port[2]}, zone = "hall-a", shard = 2, capacity = 5000, bytes = 64 * MiB)
STAR
java -jar "$jar" check "$work/site.star" >> "$record" 2>&1 || cannot "the settings have faults"
java -jar "$jar" serve --log text "$work/site.star" > "$work/gateway.out" 2> "$work/gateway.log" &
pids+=($!)
for _ in $(seq 200); do grep -q '^ready' "$work/gateway.out" && break; sleep 0.1; done
grep -q '^ready' "$work/gateway.out" || cannot "the gateway is not ready"
note "the gateway is ready"

admin() { # command, arguments
  note "hollyslip $*"
  java -jar "$jar" "$@" --socket "$work/run/admin.sock" --token-file "$work/state/operator.token" >> "$record" 2>&1
}
active() { # socket of a volume
  for _ in $(seq 50); do [ -S "$work/run/$1.sock" ] && return; sleep 0.1; done
  cannot "$1 is not served"
}
admin plan create gold reserve=100 weight=2 || cannot "no plan"
admin tenant create lee quota.reserve=500 quota.bytes=10GiB "members.ann=$(id -u)" || cannot "no tenant lee"
admin volume create lee/stock plan=gold bytes=4MiB || cannot "no volume lee/stock"
active lee/stock
text() { yes "$1" | head -c 65536; }
put() { # volume, text
  text "$2" | java -jar "$jar" ring write "$work/run/$1.sock" >> "$record" 2>&1
}
shows() { # volume, text: whether a read that is served shows it; 2: no read is served
  for _ in 1 2 3 4 5 6; do
    if java -jar "$jar" ring read --length 65536 "$work/run/$1.sock" > "$work/got" 2>> "$record"; then
      note "read of $1: served: $(head -c 40 "$work/got" | tr -d '\0' | tr '\n' ' ')"
      cmp -s "$work/got" <(text "$2")
      return
    fi
    sleep 0.3
  done
  return 2
}
put lee/stock "first text of lee" || cannot "lee's first write is not served"
for fd in 3 4 5; do
  if [ "${TROUBLE:-1}" != 0 ]; then echo "late-write 16000" >&$fd; fi
done
sleep 0.2
opened=$(grep -c device.opened "$work/gateway.log")
( put lee/stock "LATE TEXT OF LEE"; note "lee's second write: answered, status $?" ) &
pids+=($!)
for _ in $(seq 100); do [ "$(grep -c device.opened "$work/gateway.log")" -gt "$opened" ] && break; sleep 0.02; done
late=$(date +%s%N)
sleep 0.3
for fd in 3 4 5; do echo clear >&$fd; done
note "the disk servers hold lee's second write for 16 s, and nothing else"
admin tenant remove lee || cannot "lee is not removed"
for _ in $(seq 60); do [ -S "$work/run/lee/stock.sock" ] || break; sleep 0.1; done
[ -S "$work/run/lee/stock.sock" ] && cannot "lee/stock is not gone"
note "lee/stock is gone"
admin tenant create cork quota.reserve=500 quota.bytes=10GiB "members.bob=$(id -u)" || cannot "no tenant cork"
admin volume create cork/books plan=gold bytes=4MiB || cannot "no volume cork/books"
active cork/books
ok=0
for _ in 1 2 3 4 5 6; do put cork/books "text of cork" && { ok=1; break; }; sleep 0.3; done
[ $ok = 1 ] || cannot "cork's write is not served"
[ $(( ($(date +%s%N) - late) / 1000000 )) -lt 15000 ] || cannot "cork's write came too late to judge"
note "cork's write: served, $(( ($(date +%s%N) - late) / 1000000 )) ms after lee's was sent"
shows cork/books "text of cork" || cannot "cork's text does not show at once"
while [ $(( ($(date +%s%N) - late) / 1000000 )) -lt 17500 ]; do sleep 0.1; done
shows cork/books "text of cork"
case $? in
  0) note "the rule held"; exit 0;;
  1) note "the rule was broken: what cork wrote and was told is served is gone"; exit 1;;
  *) cannot "no read is served";;
esac
