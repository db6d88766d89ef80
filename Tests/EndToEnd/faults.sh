#!/usr/bin/env bash
# Real processes over loopback under failure: 4 entry hosts and the stand-ins,
# callers that go on asking, and one fault after the other. Checks by counting,
# never by wall time. Arguments: the build folder.
set -uo pipefail
cd "$(dirname "$0")/../.."
build=${1:-build}
bin=$build/celerycroft
stand_ins=$build/Tests/celerycroft-standins
example=Examples/sljeme-najam
logs=$(mktemp -d)
declare -A pids
failures=0

stop_all() {
  for name in "${!pids[@]}"; do
    kill -CONT "${pids[$name]}" 2>/dev/null
    kill -KILL "${pids[$name]}" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$logs"
}
trap stop_all EXIT

check() { # DESCRIPTION COMMAND...
  local what=$1; shift
  if "$@"; then echo "ok: $what"; else echo "FAILED: $what"; failures=$((failures + 1)); fi
}
start_node() { # NUMBER
  "$bin" node --settings "$example/nodes/sljeme-$1.json" >>"$logs/node-$1" 2>&1 &
  pids[node-$1]=$!
}
end_node() { # NUMBER SIGNAL
  kill "-$2" "${pids[node-$1]}"
  wait "${pids[node-$1]}" 2>/dev/null
  local code=$?
  unset "pids[node-$1]"
  return "$code"
}
control() { # PATH BODY
  "$stand_ins" control 127.0.1.1:7002 "$1" "$2" >/dev/null
}
query() { # HOST UPSTREAM [EXTRA...]
  local host=$1 upstream=$2; shift 2
  "$bin" query --host "127.0.1.1$host:8080" --party counter-team \
    --key-file "$example/keys/counter-team.key" --upstream "$upstream" \
    --text fault --json "$@" 2>/dev/null
}
whole() { # HOST: one query, compared with what the servers hold
  query "$1" counter-desk |
    "$stand_ins" check-query "$example/agreements" counter-desk fault >/dev/null 2>&1
}
eventually() { # COMMAND...
  for _ in $(seq 150); do "$@" && return 0; sleep 0.1; done
  return 1
}
ticket() { # HOST
  "$bin" ticket --host "127.0.1.1$1:8080" --party counter-team \
    --key-file "$example/keys/counter-team.key" 2>/dev/null
}
book() { # HOST TICKET
  "$bin" book --host "127.0.1.1$1:8080" --party counter-team \
    --key-file "$example/keys/counter-team.key" --upstream booking-web \
    --key helmet --text helmet --ticket "$2" --deadline-ms 700 --json 2>/dev/null
}
runs() { "$stand_ins" count-bookings 127.0.1.1:7002; }
publish() {
  "$bin" publish "$example/agreements" --store 127.0.1.1:7000 \
    --operator 127.0.1.11:8081 >/dev/null 2>&1
}
revision_of() { "$bin" status --operator "127.0.1.1$1:8081" --json 2>/dev/null |
  grep -o '"revision":[0-9]*' | cut -d: -f2; }
has_revision() { [ "$(revision_of "$1")" = "$2" ]; }
is_ready() { "$bin" status --operator "127.0.1.1$1:8081" --json 2>/dev/null | grep -q '"ready"'; }

"$stand_ins" serve "$example/agreements" 127.0.1.1:7000 127.0.1.1:7001 \
  127.0.1.1:7002 2>"$logs/stand-ins" &
pids[stand-ins]=$!
for node in 1 2 3 4; do start_node "$node"; done
eventually publish
for node in 1 2 3 4; do check "node $node answers whole" eventually whole "$node"; done
first=$(revision_of 1)

# Promise 1: an index version changes while queries run; check-query compares
# every shard with one version.
( for _ in $(seq 60); do query 1 counter-desk; done >"$logs/queries" ) &
changer=$!
sleep 0.1
control /index '{"upstream":"counter-desk","version":2,"keepOld":true}'
sleep 0.2
control /index '{"upstream":"counter-desk","version":3,"shardsPerService":3}'
wait "$changer"
mixed=0
while read -r answer; do
  grep -q '"not_run"' <<<"$answer" && continue
  grep -q '"missing":\[\]' <<<"$answer" || continue
  "$stand_ins" check-query "$example/agreements" counter-desk fault \
    <<<"$answer" >/dev/null 2>&1 || mixed=$((mixed + 1))
done <"$logs/queries"
check "no answer mixes versions over two changes" [ "$mixed" = 0 ]
check "the new version is whole" eventually whole 2

# Promise 3: a server answers for another request; it is not believed.
control /servers '{"match":"127.0.10.1:9000","foreignAnswers":1000}'
sleep 0.2
wrong=0
for _ in $(seq 20); do
  query 1 counter-desk >"$logs/answer"
  grep -q '"missing":\[\]' "$logs/answer" || continue
  "$stand_ins" check-query "$example/agreements" counter-desk fault \
    <"$logs/answer" >/dev/null 2>&1 || wrong=$((wrong + 1))
done
check "no foreign answer is passed on" [ "$wrong" = 0 ]
control /servers '{"match":"127.0.10.1:9000"}'

# Promises 4 and 5: the issuer is frozen while it books, resumed, and asked
# again through others.
before=$(runs)
control /servers '{"match":"booking-web","bookingDelayMs":400}'
issued=$(ticket 2)
issuer=$(cut -d. -f1 <<<"$issued"); issuer=${issuer#sljeme-}
book 2 "$issued" >"$logs/book" &
booker=$!
sleep 0.1
kill -STOP "${pids[node-$issuer]}"
wait "$booker"
other=$((issuer % 4 + 1))
# The client may also have chosen the frozen node itself; its exit code says
# the same in both cases.
book "$other" "$issued" >"$logs/book-2"
code=$?
check "while the issuer is frozen the outcome is unknown" [ "$code" = 6 ]
kill -CONT "${pids[node-$issuer]}"
control /servers '{"match":"booking-web"}'
answered() { { book "$1" "$2" || true; } | grep -qE '"answered"|"not_run"|"unknown"'; }
check "after it resumed the ticket has an outcome" eventually answered "$other" "$issued"
sleep 1
check "the booking ran at most once" [ $(($(runs) - before)) -le 1 ]
before=$(runs)
issued=$(ticket 2)
issuer=$(cut -d. -f1 <<<"$issued"); issuer=${issuer#sljeme-}
other=$((issuer % 4 + 1))
eventually answered "$other" "$issued"
end_node "$issuer" KILL
book "$other" "$issued" >"$logs/book-3"
check "after the issuer's death nobody claims that it was not run" \
  bash -c "! grep -q '\"not_run\"' '$logs/book-3'"
check "and it ran at most once" [ $(($(runs) - before)) -le 1 ]
check "others answer whole without the dead node" eventually whole "$other"
start_node "$issuer"
check "the node comes back" eventually whole "$issuer"

# Promise 6: a server leaves and denies it.
control /servers '{"match":"127.0.10.2:9000","leaving":true,"liesAboutLeaving":true}'
refused() { "$stand_ins" control 127.0.1.1:7002 /records '' |
  grep -o '"address":"127.0.10.2:9000"[^}]*}[^}]*' |
  grep -o '"refusedWhileLeaving":[0-9]*' | cut -d: -f2; }
# The 3 s count from the first refusal, so there must have been one.
is_refused() { query 1 counter-desk >/dev/null; [ "$(refused)" -gt 0 ]; }
check "the server that leaves refuses work" eventually is_refused
sleep 3
late=$(refused)
for node in 1 2 3 4; do for _ in $(seq 15); do query "$node" counter-desk >/dev/null; done; done
now=$(refused)
check "a server that leaves gets no work after 3 s ($late, then $now refusals)" \
  [ "$now" = "$late" ]
check "answers are whole without it" eventually whole 1
control /servers '{"match":"127.0.10.2:9000"}'

# Promise 8: a lost answer to the publication, and an outage with a restart.
control /store '{"loseWriteAnswers":1}'
check "a publication whose answer is lost succeeds" publish
second=$(revision_of 1)
for node in 1 2 3 4; do
  check "revision $second is in force on node $node" has_revision "$node" "$second"
done
check "the revision rose" [ "$second" -gt "$first" ]
control /store '{"outage":true}'
check "running nodes answer in an outage" eventually whole 1
end_node 4 KILL
start_node 4
sleep 2
check "a node that restarts in an outage takes no work" bash -c \
  "! '$bin' status --operator 127.0.1.14:8081 --json | grep -q '\"ready\"'"
control /store '{}'
check "it takes work after the outage" eventually is_ready 4
check "under the last revision" has_revision 4 "$second"

# Promise 7: an orderly end cuts off no request. The callers below are told
# addresses, hold one for the hold time, and ask it without pause.
"$stand_ins" hold-and-ask 127.0.1.13:8080 counter-team \
  "$example/keys/counter-team.key" counter-desk 2500 >"$logs/held" &
holder=$!
sleep 0.3
end_node 3 TERM
code=$?
wait "$holder"
cat "$logs/held"
check "no request to the ending node was cut off" \
  grep -q ' 0 cut off$' "$logs/held"
check "it ended by itself" [ "$code" = 0 ]

echo "$failures failures"
[ "$failures" = 0 ]
