#!/usr/bin/env bash
# Demo of routed requests with separate processes on loopback: an emulated store,
# three engines, a plain server and two gateways. Kills the engine in the middle of a
# stream, checks that the stream completes, and explains the request from the logs.
# Exits non-zero if a step fails.
set -euo pipefail
cd "$(dirname "$0")/.."

BIN=$PWD/bin
DIR=$PWD/.demo-gateway
STORE=127.0.0.1:18300
ENGINES=(127.0.0.1:18401 127.0.0.1:18402 127.0.0.1:18403)
SERVICE=127.0.0.1:18501
GATEWAYS=(127.0.0.1:18600 127.0.0.1:18601)
EVENTS=200
# shellcheck source=scripts/demo-lib.sh
. scripts/demo-lib.sh
declare -a ENGINE_PIDS=()

write_row() { # table key value
	curl -sSf "http://$STORE/v1/rows-tx" -d \
		"{\"set_keys\":[{\"table\":\"$1\",\"part\":\"\",\"key\":\"$2\",\"value\":\"$(printf %s "$3" | base64 -w0)\"}]}" >/dev/null
}

build

step "start the emulated platform: store, 3 engines, 1 plain server"
start store "$BIN/foxtailhub-standin" -role routed-store -listen $STORE
PIDS+=("$STARTED")
for i in 0 1 2; do
	start engine-$i "$BIN/foxtailhub-standin" -role routed-engine -listen "${ENGINES[$i]}" -address "${ENGINES[$i]}" -store $STORE \
		-id engine-$i -service drafts -failure-domain domain-$i -token-interval 15ms
	PIDS+=("$STARTED")
	ENGINE_PIDS+=("$STARTED")
done
start plain "$BIN/foxtailhub-standin" -role routed-service -listen $SERVICE -address $SERVICE -store $STORE -id plain-0 -service shop -failure-domain domain-0
PIDS+=("$STARTED")
for _ in $(seq 50); do
	write_row op other '{}' 2>/dev/null && break
	sleep 0.1
done
write_row op config '{"version":1,"routes":[
 {"name":"drafts","host":"demo","prefix":"/drafts/","route_type":"streaming","service":"drafts","resumable":true,"max_attempts":5,"timeout_ms":25000,"latency_goal_ms":4500,"gap_target_ms":700},
 {"name":"orders","host":"demo","prefix":"/orders/","route_type":"non_idempotent","service":"shop","max_attempts":1,"timeout_ms":2000}],
 "services":[{"name":"drafts","health_path":"/healthz","engine":{"slots":8,"kv_tokens":88000,"backups":true,"handle_s":4}},{"name":"shop","health_path":"/healthz"}],
 "tenants":[{"name":"shop-a","api_keys":["demo-key"]}]}'

for _ in $(seq 50); do # until all 4 servers have registered
	[ "$(curl -sSf "http://$STORE/v1/rows-get?table=servers&part=" | grep -o '"key"' | wc -l)" = 4 ] && break
	sleep 0.1
done

step "start 2 gateways"
for i in 0 1; do
	cat >"$DIR/gateway-$i.json" <<-JSON
		{"instance": "gateway-$i", "failure_domain": "domain-$i", "front_address": "${GATEWAYS[$i]}",
		 "readiness_address": "127.0.0.1:1870$i", "metrics_address": "127.0.0.1:1880$i", "store_address": "$STORE"}
	JSON
	"$BIN/foxtailhubd" gateway -check -settings "$DIR/gateway-$i.json" >/dev/null
	start gateway-$i "$BIN/foxtailhubd" gateway -settings "$DIR/gateway-$i.json"
	PIDS+=("$STARTED")
done
for i in 0 1; do
	for _ in $(seq 100); do
		curl -sf "http://127.0.0.1:1870$i/v1/readyz" && break
		sleep 0.1
	done || fail "gateway-$i is not ready"
done

step "a call: the answer is passed on unchanged; an unknown key gets 401"
curl -sSf "http://${GATEWAYS[0]}/orders/7" -H 'Host: demo' -H 'Authorization: Bearer demo-key' -H 'X-Attempt-Id: call-1' -d 'two tins'
status=$(curl -s -o /dev/null -w '%{http_code}' "http://${GATEWAYS[0]}/orders/7" -H 'Host: demo' -H 'Authorization: Bearer other')
[ "$status" = 401 ] || fail "an unknown key got $status"

step "a stream of $EVENTS events; its engine is killed in the middle"
curl -sSN "http://${GATEWAYS[1]}/drafts/9" -H 'Host: demo' -H 'Authorization: Bearer demo-key' -H 'X-Attempt-Id: stream-1' \
	-H "X-Token-Counts: 800,$((10 * EVENTS))" -H 'X-Prompt-Prefix: 5c1e07a2:200,91bd3f06:600' -d 'the history of a rider' >"$DIR/stream" &
CALLER=$!
for _ in $(seq 100); do
	[ "$(grep -c '^id:' "$DIR/stream")" -ge 50 ] && break
	sleep 0.05
done
for i in 0 1 2; do
	if grep -q 'ran request=stream-1 ' "$DIR/engine-$i.log"; then
		echo "kill engine-$i"
		kill -KILL "${ENGINE_PIDS[$i]}"
	fi
done
wait "$CALLER" || fail "the stream was broken off"
grep '^id:' "$DIR/stream" | cmp - <(seq -f 'id: %.0f' "$EVENTS") || fail "events are missing or repeated"
echo "$EVENTS events, each once and in order"

step "what happened, from the logs"
"$BIN/foxtailhub" explain -request stream-1 "$DIR"/gateway-*.log | cut -c1-230

step "the time line of both gateways"
"$BIN/foxtailhub" timeline -logs "$DIR"/gateway-*.log | cut -c1-160
