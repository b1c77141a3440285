#!/usr/bin/env bash
# Demo of generations and calls with separate processes on loopback: three instances,
# a platform, three engines and a plain service. Kills the engine in the middle of a
# long generation, sends one charge twice under the same key, and stops the instances
# by SIGTERM. Exits non-zero if a step fails.
set -euo pipefail
cd "$(dirname "$0")/.."

BIN=$PWD/bin
DIR=$PWD/.demo
PLATFORM=127.0.0.1:17300
ENGINES=(127.0.0.1:17401 127.0.0.1:17402 127.0.0.1:17403)
SERVICE=127.0.0.1:17501
DOMAINS=(sapporo asahikawa obihiro)
# shellcheck source=scripts/demo-lib.sh
. scripts/demo-lib.sh

build

step "start the stand-ins: platform, 3 engines, 1 plain service"
start platform "$BIN/foxtailhub-standin" -role platform -listen $PLATFORM
PIDS+=("$STARTED")
for i in 0 1 2; do
	start engine-$i "$BIN/foxtailhub-standin" -role engine -listen "${ENGINES[$i]}" -models guide-drafter@2026-11 -token-interval 10ms
	PIDS+=("$STARTED")
done
start service "$BIN/foxtailhub-standin" -role service -listen $SERVICE
PIDS+=("$STARTED")

step "start 3 instances in 3 failure domains"
"$BIN/foxtailhub" keys -dir "$DIR/keys" -region hokkaido instance-0 instance-1 instance-2
ENDPOINTS=
for i in 0 1 2; do
	cat >"$DIR/instance-$i.json" <<-JSON
		{
		  "instance": "instance-$i", "region": "hokkaido", "failure_domain": "${DOMAINS[$i]}",
		  "api_address": "127.0.0.1:1760$i", "link_address": "127.0.0.1:1770$i",
		  "tls": {"certificate_file": "keys/instance-$i.crt", "key_file": "keys/instance-$i.key", "authority_file": "keys/authority.crt"},
		  "platform": {"table_address": "http://$PLATFORM", "list_address": "http://$PLATFORM"},
		  "drain_linger_ms": 500
		}
	JSON
	"$BIN/foxtailhubd" -check -settings "$DIR/instance-$i.json" >/dev/null
	start instance-$i "$BIN/foxtailhubd" -settings "$DIR/instance-$i.json"
	INSTANCE_PIDS+=("$STARTED")
	ENDPOINTS+="${ENDPOINTS:+,}http://127.0.0.1:1760$i"
done
export FOXTAILHUB_ENDPOINTS=$ENDPOINTS

step "submit a configuration and wait until it is in force everywhere"
cat >"$DIR/configuration.json" <<-JSON
	{
	  "services": {
	    "care-guides": {"kind": "engine", "model": "guide-drafter", "model_version": "2026-11", "resume_policy": "fast", "upstreams": ["drafting-0", "drafting-1", "drafting-2"]},
	    "renewal-charges": {"kind": "service", "upstreams": ["storefront-0"]}
	  },
	  "upstreams": {
	    "drafting-0": {"kind": "engine", "address": "${ENGINES[0]}", "failure_domain": "sapporo"},
	    "drafting-1": {"kind": "engine", "address": "${ENGINES[1]}", "failure_domain": "asahikawa"},
	    "drafting-2": {"kind": "engine", "address": "${ENGINES[2]}", "failure_domain": "obihiro"},
	    "storefront-0": {"kind": "service", "address": "$SERVICE", "failure_domain": "sapporo"}
	  },
	  "workspaces": {"shop-a": {}},
	  "rules": {
	    "shop-a-guides": {"workspace": "shop-a", "service": "care-guides"},
	    "shop-a-charges": {"workspace": "shop-a", "service": "renewal-charges"}
	  }
	}
JSON
PATCH_ID=demo-$$
for _ in $(seq 100); do
	if OUT=$("$BIN/foxtailhub" config patch -base 0 -id $PATCH_ID "$DIR/configuration.json" 2>&1); then break; fi
	sleep 0.1
done
echo "$OUT"
case $OUT in *status=accepted*) ;; *) fail "the configuration was not accepted" ;; esac
"$BIN/foxtailhub" config wait 1

step "stream a generation of 600 tokens and kill its engine in the middle"
KEY=demo-generation-$$
"$BIN/foxtailhub" generate -workspace shop-a -service care-guides -key $KEY "care guide for chain wax, len=600" >"$DIR/text" 2>"$DIR/result" &
GENERATE=$!
UPSTREAM=
for _ in $(seq 100); do
	[ "$(wc -w <"$DIR/text")" -lt 100 ] || break
	sleep 0.1
done
UPSTREAM=$("$BIN/foxtailhub" timeline -request shop-a/$KEY | sed -n 's/.*event=attempt_started.* upstream=drafting-\([0-2]\).*/\1/p' | tail -1)
[ -n "$UPSTREAM" ] || fail "the generation's engine was not found in the time line"
echo "killing drafting-$UPSTREAM after $(wc -w <"$DIR/text") words"
kill -KILL "${PIDS[$((UPSTREAM + 1))]}"
wait $GENERATE || fail "the generation did not complete: $(cat "$DIR/result")"
cat "$DIR/result"
grep -q 'outcome=completed .*tokens=600 ' "$DIR/result" || fail "the text is not whole"
GAP=$(sed -n 's/.*longest_gap_ms=\([0-9]*\).*/\1/p' "$DIR/result")
echo "resume latency at the caller: at most $GAP ms (bound 3000 ms)"
[ "$GAP" -lt 3000 ] || fail "resume latency is above 3 s"
"$BIN/foxtailhub" timeline -request shop-a/$KEY

step "make one renewal charge twice under one key"
CHARGE=$(date +%s%3N)-demo
for _ in 1 2; do
	"$BIN/foxtailhub" call -workspace shop-a -service renewal-charges -key "$CHARGE" -path /charges '{"amount": 1200}' || fail "the charge failed"
done
COUNT=$(curl -sf "http://$SERVICE/executions" | tr -d ' \n' | grep -o "\"key\":\"$CHARGE\"[^}]*\"count\":[0-9]*" | grep -o '[0-9]*$')
echo "executions of the charge: $COUNT"
[ "$COUNT" = 1 ] || fail "the charge ran $COUNT times"

step "stop the instances by SIGTERM"
kill -TERM "${INSTANCE_PIDS[@]}"
for pid in "${INSTANCE_PIDS[@]}"; do
	wait "$pid" || fail "an instance did not stop cleanly"
done
INSTANCE_PIDS=()
echo
echo "demo passed"
