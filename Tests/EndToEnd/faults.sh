#!/usr/bin/env bash
# Runs 4 entry hosts and the stand-ins as real processes over loopback, sends
# queries and bookings, and injects one fault after the other. The checks count
# events and never measure wall time. The promises are those of
# oracle::Promise. Argument: the build folder (default: build).
set -uo pipefail
cd "$(dirname "$0")/../.."
build=${1:-build}
program=$build/celerycroft
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
  local description=$1; shift
  if "$@"; then echo "ok: $description"; else echo "FAILED: $description"; failures=$((failures + 1)); fi
}
start_node() { # NUMBER
  "$program" node --settings "$example/nodes/sljeme-$1.json" >>"$logs/node-$1" 2>&1 &
  pids[node-$1]=$!
}
# Sends the node a signal, waits for its end and returns its exit code.
signal_and_wait() { # NUMBER SIGNAL
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
  "$program" query --host "127.0.1.1$host:8080" --party counter-team \
    --key-file "$example/keys/counter-team.key" --upstream "$upstream" \
    --text fault --json "$@" 2>/dev/null
}
# Sends one query and compares the answer with what the servers hold.
answers_completely() { # HOST
  query "$1" counter-desk |
    "$stand_ins" check-query "$example/agreements" counter-desk fault >/dev/null 2>&1
}
# Repeats the command until it succeeds, up to 150 times 0.1 s apart.
eventually() { # COMMAND...
  for _ in $(seq 150); do "$@" && return 0; sleep 0.1; done
  return 1
}
issue_ticket() { # HOST
  "$program" ticket --host "127.0.1.1$1:8080" --party counter-team \
    --key-file "$example/keys/counter-team.key" 2>/dev/null
}
book() { # HOST TICKET
  "$program" book --host "127.0.1.1$1:8080" --party counter-team \
    --key-file "$example/keys/counter-team.key" --upstream booking-web \
    --key helmet --text helmet --ticket "$2" --deadline-ms 700 --json 2>/dev/null
}
count_booking_runs() { "$stand_ins" count-bookings 127.0.1.1:7002; }
publish() {
  "$program" publish "$example/agreements" --store 127.0.1.1:7000 \
    --operator 127.0.1.11:8081 >/dev/null 2>&1
}
revision_of() { "$program" status --operator "127.0.1.1$1:8081" --json 2>/dev/null |
  grep -o '"revision":[0-9]*' | cut -d: -f2; }
has_revision() { [ "$(revision_of "$1")" = "$2" ]; }
is_ready() { "$program" status --operator "127.0.1.1$1:8081" --json 2>/dev/null | grep -q '"ready"'; }

"$stand_ins" serve "$example/agreements" 127.0.1.1:7000 127.0.1.1:7001 \
  127.0.1.1:7002 2>"$logs/stand-ins" &
pids[stand-ins]=$!
for node in 1 2 3 4; do start_node "$node"; done
eventually publish
for node in 1 2 3 4; do check "node $node answers completely" eventually answers_completely "$node"; done
first_revision=$(revision_of 1)

# Promise 1: the index version changes while queries run. check-query compares
# all shards of an answer with one version.
( for _ in $(seq 60); do query 1 counter-desk; done >"$logs/queries" ) &
query_loop_pid=$!
sleep 0.1
control /index '{"upstream":"counter-desk","version":2,"keepOld":true}'
sleep 0.2
control /index '{"upstream":"counter-desk","version":3,"shardsPerService":3}'
wait "$query_loop_pid"
mixed=0
while read -r answer; do
  grep -q '"not_run"' <<<"$answer" && continue
  grep -q '"missing":\[\]' <<<"$answer" || continue
  "$stand_ins" check-query "$example/agreements" counter-desk fault \
    <<<"$answer" >/dev/null 2>&1 || mixed=$((mixed + 1))
done <"$logs/queries"
check "no answer mixes index versions during two changes" [ "$mixed" = 0 ]
check "answers of the new index version are complete" eventually answers_completely 2

# Promise 3: a server sends answers to another request. The nodes must not
# accept them.
control /servers '{"match":"127.0.10.1:9000","foreignAnswers":1000}'
sleep 0.2
wrong=0
for _ in $(seq 20); do
  query 1 counter-desk >"$logs/answer"
  grep -q '"missing":\[\]' "$logs/answer" || continue
  "$stand_ins" check-query "$example/agreements" counter-desk fault \
    <"$logs/answer" >/dev/null 2>&1 || wrong=$((wrong + 1))
done
check "no answer to another request is passed on" [ "$wrong" = 0 ]
control /servers '{"match":"127.0.10.1:9000"}'

# Promises 4 and 5: the node that issued the ticket is frozen while it books,
# then resumed, and the outcome is requested through another node.
runs_before=$(count_booking_runs)
control /servers '{"match":"booking-web","bookingDelayMs":400}'
ticket=$(issue_ticket 2)
issuer=$(cut -d. -f1 <<<"$ticket"); issuer=${issuer#sljeme-}
book 2 "$ticket" >"$logs/book" &
booking_pid=$!
sleep 0.1
kill -STOP "${pids[node-$issuer]}"
wait "$booking_pid"
other=$((issuer % 4 + 1))
# The client may have chosen the frozen node itself. Its exit code is the same
# in both cases.
book "$other" "$ticket" >"$logs/book-2"
code=$?
check "the outcome is unknown while the issuer is frozen" [ "$code" = 6 ]
kill -CONT "${pids[node-$issuer]}"
control /servers '{"match":"booking-web"}'
has_outcome() { { book "$1" "$2" || true; } | grep -qE '"answered"|"not_run"|"unknown"'; }
check "the ticket has an outcome after the issuer resumed" eventually has_outcome "$other" "$ticket"
sleep 1
check "the booking ran at most once" [ $(($(count_booking_runs) - runs_before)) -le 1 ]
runs_before=$(count_booking_runs)
ticket=$(issue_ticket 2)
issuer=$(cut -d. -f1 <<<"$ticket"); issuer=${issuer#sljeme-}
other=$((issuer % 4 + 1))
eventually has_outcome "$other" "$ticket"
signal_and_wait "$issuer" KILL
book "$other" "$ticket" >"$logs/book-3"
check "no node says that the booking was not run after its issuer was killed" \
  bash -c "! grep -q '\"not_run\"' '$logs/book-3'"
check "the booking of the killed issuer ran at most once" [ $(($(count_booking_runs) - runs_before)) -le 1 ]
check "another node answers completely without the killed node" eventually answers_completely "$other"
start_node "$issuer"
check "the restarted node answers completely" eventually answers_completely "$issuer"

# Promise 6: a server is leaving, but its report says that it is serving.
control /servers '{"match":"127.0.10.2:9000","leaving":true,"liesAboutLeaving":true}'
refusals() { "$stand_ins" control 127.0.1.1:7002 /records '' |
  grep -o '"address":"127.0.10.2:9000"[^}]*}[^}]*' |
  grep -o '"refusedWhileLeaving":[0-9]*' | cut -d: -f2; }
# The 3 s after which the server gets no more work count from its first
# refusal, so wait for one.
is_refused() { query 1 counter-desk >/dev/null; [ "$(refusals)" -gt 0 ]; }
check "the leaving server refuses work" eventually is_refused
sleep 3
refusals_before=$(refusals)
for node in 1 2 3 4; do for _ in $(seq 15); do query "$node" counter-desk >/dev/null; done; done
refusals_after=$(refusals)
check "a leaving server gets no work after 3 s ($refusals_before, then $refusals_after refusals)" \
  [ "$refusals_after" = "$refusals_before" ]
check "answers are complete without the leaving server" eventually answers_completely 1
control /servers '{"match":"127.0.10.2:9000"}'

# Promise 8: the store's answer to a publication is lost. Later the store has
# an outage, during which a node restarts.
control /store '{"loseWriteAnswers":1}'
check "a publication whose answer is lost succeeds" publish
second_revision=$(revision_of 1)
for node in 1 2 3 4; do
  check "revision $second_revision is in force on node $node" has_revision "$node" "$second_revision"
done
check "the revision rose" [ "$second_revision" -gt "$first_revision" ]
control /store '{"outage":true}'
check "running nodes answer during an outage of the store" eventually answers_completely 1
signal_and_wait 4 KILL
start_node 4
sleep 2
check "a node that restarts during an outage takes no work" bash -c \
  "! '$program' status --operator 127.0.1.14:8081 --json | grep -q '\"ready\"'"
control /store '{}'
check "the restarted node takes work after the outage" eventually is_ready 4
check "the last revision is in force on the restarted node" has_revision 4 "$second_revision"

# Promise 7: an orderly shutdown cuts off no request. The caller below holds one
# address for the hold time and sends it one query after the other.
"$stand_ins" hold-and-ask 127.0.1.13:8080 counter-team \
  "$example/keys/counter-team.key" counter-desk 2500 >"$logs/held" &
caller_pid=$!
sleep 0.3
signal_and_wait 3 TERM
code=$?
wait "$caller_pid"
cat "$logs/held"
check "no request to the stopping node was cut off" \
  grep -q ' 0 cut off$' "$logs/held"
check "the stopping node exits with code 0" [ "$code" = 0 ]

echo "$failures failures"
[ "$failures" = 0 ]
