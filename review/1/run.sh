#!/bin/bash
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
jar="$root/target/hollyslip.jar"
record="$here/record.txt"
started=$(date +%s%N)
: > "$record"
[ -f "$jar" ] || exit 2
work=$(mktemp -d) || exit 2
pids=()
note() { printf '%8.3f %s\n' "$(( ($(date +%s%N) - started) / 1000000 ))e-3" "$*" >> "$record"; }
finish() {
  exec 3>&- 4>&- 5>&- 6>&-
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  sed 's/^/gateway log: /' "$work/gateway.log" >> "$record" 2>/dev/null
  rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' TERM INT
cannot() { note "cannot run: $*"; echo "cannot run: $*"; exit 2; }

# Four disk servers with one shard each in files of their own; store-3 holds a copy of store-0's shard.
server() { # number, descriptor of its standard input, folder
  mkfifo "$work/in-$1"
  java -jar "$jar" standin --name "store-$1" --data "$3" < "$work/in-$1" > "$work/out-$1" 2>&1 &
  pids+=($!)
  server_pid[$1]=$!
  eval "exec $2> '$work/in-$1'"
  for _ in $(seq 100); do
    port[$1]=$(sed -n 's/^port //p' "$work/out-$1")
    [ -n "${port[$1]}" ] && { note "store-$1 listens at port ${port[$1]}, process ${server_pid[$1]}"; return; }
    sleep 0.1
  done
  cannot "store-$1 does not listen"
}
declare -A port server_pid
for i in 0 1 2; do mkdir "$work/data-$i"; done
server 0 3 "$work/data-0"
server 1 4 "$work/data-1"
server 2 5 "$work/data-2"

# Settings in the form of example.star: nodes by name, port, zone, shard and state.
list() { # rows
  { echo 'NODES = ['; printf '    %s,\n' "$@"; echo ']'; } > "$work/fleet.next"
  mv "$work/fleet.next" "$work/fleet.star"
  note "node list: $*"
}
row0="(\"store-0\", ${port[0]}, \"hall-a\", 0, \"on\")"
row1="(\"store-1\", ${port[1]}, \"hall-b\", 1, \"on\")"
row2="(\"store-2\", ${port[2]}, \"hall-a\", 2, \"on\")"
list "$row0" "$row1" "$row2"
cat > "$work/site.star" <<'STAR'
load("fleet.star", "NODES")
gateway("gateway-a", index = 0, hosts = 1, zone = "hall-a", socket_dir = "run", state_dir = "state",
        unit_bytes = 4 * KiB, most_requests = 8192, most_bytes = 256 * MiB)
rules(drain_grace = seconds(1), cold_from = 0.2, cold = seconds(5), fall_multiple = 3, fall = seconds(2),
      settle = ms(300), budget_share = 0.5, budget_free = 20, budget_window = seconds(5), most_attempts = 4,
      most_retry_after = ms(500))
store(mean_units = 2, most_units = 16, cold_units = 60)
request_class("lookup", kinds = ["read"], most_bytes = 16 * KiB, effect = "safe", aim = ms(150),
              deadline = seconds(2), worth = 2)
request_class("bulk-read", kinds = ["read"], effect = "safe", aim = ms(600), deadline = seconds(4), worth = 1)
request_class("update", kinds = ["write", "flush", "discard", "write_zeroes"], effect = "unsafe",
              aim = ms(250), deadline = seconds(2), worth = 3)
plan("gold", rate = 800, reserve = 400, weight = 4, price = 1.4)
for name, port, zone, shard, state in NODES:
    node(name, port = port, zone = zone, shard = shard, state = state)
volume("orders", tenant = "corrib", plan = "gold", size = 24 * MiB, extent = 256 * KiB, shards = [0, 1, 2], at = 0)
STAR
java -jar "$jar" check "$work/site.star" >> "$record" 2>&1 || cannot "the settings have faults"
java -jar "$jar" serve --log text "$work/site.star" > "$work/gateway.out" 2> "$work/gateway.log" &
gateway=$!
pids+=($gateway)
for _ in $(seq 200); do grep -q '^ready' "$work/gateway.out" && break; sleep 0.1; done
grep -q '^ready' "$work/gateway.out" || cannot "the gateway is not ready"
note "gateway ready, process $gateway"

extent=262144
text() { printf '%-2048s' "extent $1 of orders, version $2 "; }
late() { [ "$SECONDS" -gt 90 ]; }
put() { # extent, version: until it is served
  for _ in $(seq 8); do
    late && return 1
    if text "$1" "$2" | java -jar "$jar" ring write --offset $(( $1 * extent )) "$work/run/orders.sock" 2>> "$record"; then
      note "write of extent $1 version $2: served"
      return 0
    fi
    note "write of extent $1 version $2: not served"
    sleep 0.3
  done
  return 1
}
broken=0
get() { # extent, version that was written last and served: a read that is served has to show it
  for _ in $(seq 8); do
    late && return 1
    if java -jar "$jar" ring read --offset $(( $1 * extent )) --length 2048 "$work/run/orders.sock" > "$work/got" 2>> "$record"; then
      if cmp -s "$work/got" <(text "$1" "$2"); then
        note "read of extent $1: served, version $2, as written"
      else
        note "BROKEN: read of extent $1: served '$(tr -d '\0' < "$work/got" | head -c 40)', written and served before: version $2"
        broken=1
      fi
      return 0
    fi
    note "read of extent $1: not served"
    sleep 0.3
  done
  return 1
}

for e in 0 1 2; do put $e 1 || cannot "no write is served"; done
for e in 0 1 2; do get $e 1 || cannot "no read is served"; done
[ $broken = 0 ] || cannot "wrong data before the change"

if [ "${TROUBLE:-1}" != 0 ]; then
  # store-0 is replaced: its successor gets its data and takes over its shard, and store-0 goes.
  cp -r "$work/data-0" "$work/data-3"
  server 3 6 "$work/data-3"
  list "$row1" "$row2" "(\"store-3\", ${port[3]}, \"hall-a\", 0, \"on\")"
  java -jar "$jar" check "$work/site.star" >> "$record" 2>&1 || cannot "the new list has faults"
  kill -HUP "$gateway"
  note "SIGHUP"
  for _ in $(seq 50); do grep -q 'nodes.replaced' "$work/gateway.log" && break; sleep 0.1; done
  grep -q 'nodes.replaced' "$work/gateway.log" || cannot "the list was not taken"
  sleep 2
  kill -TERM "${server_pid[0]}"
  note "store-0 is shut down, 2 s after the new list was taken"
else
  sleep 2
fi
sleep 1
for e in 0 1 2; do get $e 1; done
put 0 2 && get 0 2
get 1 1
get 2 1
note "broken $broken"
echo "reads with wrong data: $(grep -c BROKEN "$record")"
exit $broken
