#!/usr/bin/env bash
# Runs a deployment of Examples/ on this machine: a process with stand-ins for
# everything outside the tier, and 4 entry hosts, each a process with addresses
# of its own. Publishes the agreements, sends queries and bookings, and checks
# the answers against what the servers hold. Stops every process that it started.
# Keeps the logs if $KEEP is set.
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:?usage: Meta/example.sh sljeme-najam|nabiralnica-vrtovi}
example=Examples/$deployment
[ -d "$example" ] || { echo "no deployment $deployment" >&2; exit 2; }

case $deployment in
  sljeme-najam)
    net=1; search=counter-desk; search_party=counter-team
    ledger=store-ledger; ledger_party=stores-team
    booking=booking-web; booking_party=counter-team ;;
  nabiralnica-vrtovi)
    net=2; search=pickfinder; search_party=visitors
    ledger=harvestbooks; ledger_party=growers
    booking=gatepass; booking_party=visitors ;;
esac
store=127.0.$net.1:7000
hosts=127.0.$net.1:7001
control=127.0.$net.1:7002

Meta/packages.sh
Meta/build.sh
bin=build/celerycroft
stand_ins=build/Tests/celerycroft-standins
logs=$(mktemp -d)
pids=()

stop_all() {
  local code=$?
  if [ "$code" != 0 ] && [ -e "$logs/answer" ]; then
    echo "the last answer was:" >&2
    cat "$logs/answer" >&2
  fi
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ -z "${KEEP:-}" ]; then rm -rf "$logs"; fi
}
trap stop_all EXIT

"$stand_ins" serve "$example/agreements" "$store" "$hosts" "$control" \
  >"$logs/stand-ins" 2>&1 & pids+=($!)
for settings in "$example"/nodes/*.json; do
  "$bin" node --settings "$settings" >"$logs/$(basename "$settings")" 2>&1 &
  pids+=($!)
done

wait_for() { # DESCRIPTION COMMAND...
  local what=$1; shift
  for _ in $(seq 100); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "timed out waiting for $what; the last lines of the logs are:" >&2
  tail -n 5 "$logs"/* >&2
  exit 1
}

# The functions below call the entry host with the number $entry, but for
# knows_all_nodes, which calls the first one.
knows_all_nodes() {
  [ "$("$bin" dump --operator 127.0.$net.11:8081 --json |
    grep -o '"nodeId"' | wc -l)" -ge 5 ]
}
is_ready() {
  "$bin" status --operator 127.0.$net.1"$entry":8081 --json |
    grep -q '"state":"ready"'
}
knows_index() {
  "$bin" dump --operator 127.0.$net.1"$entry":8081 --json |
    grep -q "\"$search\":{\"shardCount\""
}
call() { # PARTY COMMAND...
  local party=$1 command=$2; shift 2
  "$bin" "$command" --host 127.0.$net.1"$entry":8080 --party "$party" \
    --key-file "$example/keys/$party.key" "$@"
}

entry=1
wait_for "host 1 to know all nodes" knows_all_nodes
echo "== publish"
"$bin" check --settings "$example"/nodes/*-1.json "$example/agreements"
"$bin" publish "$example/agreements" --store "$store" \
  --operator 127.0.$net.11:8081
for entry in 1 2 3 4; do
  wait_for "host $entry to be ready" is_ready
  wait_for "host $entry to know a whole index" knows_index
done
entry=1

echo "== addresses"
for entry in 1 2 3 4; do
  echo "host $entry names:" $("$bin" addresses --host 127.0.$net.1"$entry":8080)
done

echo "== search over all shards of $search, through each entry host"
for entry in 1 2 3 4; do
  call "$search_party" query --upstream "$search" --text "size 42" --json \
    >"$logs/answer"
  "$stand_ins" check-query "$example/agreements" "$search" "size 42" \
    <"$logs/answer"
done
call "$search_party" query --upstream "$search" --text "size 42" | head -n 3

echo "== one store's ledger"
entry=2
call "$ledger_party" query --upstream "$ledger" --text "stock of store 17" \
  --key store-17 --json >"$logs/answer"
"$stand_ins" check-query "$example/agreements" "$ledger" "stock of store 17" \
  <"$logs/answer"

echo "== a booking, then the same ticket at another entry host"
entry=3
ticket=$(call "$booking_party" ticket)
first=$(call "$booking_party" book --upstream "$booking" --key helmet-7 \
  --text "helmet 7, size 58" --ticket "$ticket")
entry=4
second=$(call "$booking_party" book --upstream "$booking" --key helmet-7 \
  --text "helmet 7, size 58" --ticket "$ticket")
echo "$first"
[ "$first" = "$second" ] || { echo "the answers differ: $second" >&2; exit 1; }
runs=$("$stand_ins" count-bookings "$control")
echo "runs that the servers recorded: $runs"
[ "$runs" = 1 ] || { echo "expected 1 run" >&2; exit 1; }

echo "== a wrong key"
entry=1
echo wrong >"$logs/wrong.key"
if "$bin" query --host 127.0.$net.11:8080 --party "$search_party" \
    --key-file "$logs/wrong.key" --upstream "$search" --text x; then
  echo "the query with the wrong key was answered" >&2; exit 1
fi

echo "== usage of this month"
# Nodes store their usage every 5 s.
sleep 6
"$bin" reckon "$(date -u +%Y-%m)" --store "$store"
echo "== done"
