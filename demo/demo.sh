#!/usr/bin/env bash
# Starts a small fleet with stand-ins of the external systems on this machine.
#   demo.sh run  sends example requests, prints the answers and stops the fleet (the default)
#   demo.sh up   keeps the fleet running until SIGINT or SIGTERM
set -euo pipefail
cd "$(dirname "$0")/.."
. demo/fleet.sh

mode=${1:-run}
engines=4 services=1 instances=3 slots=6 load_rate=3 policy=affinity
zones=(zone-1 zone-2)
start_fleet

cat examples/wuerfelturm/plans.ini examples/patos-del-lago/plans.ini >$run/plans.ini
cat examples/wuerfelturm/uses.ini examples/patos-del-lago/uses.ini >$run/uses.ini
$gg lists apply --plans $run/plans.ini --uses $run/uses.ini | tail -1

workspaces=(gravur-vorschau kunden-fragen gilden-sammelbestellung avisos-de-entrega preguntas-de-suscriptores resumen-semanal pruebas)
declare -A model plan
model=([gravur-vorschau]=gravur-0001@2 [kunden-fragen]=holzkunde@3 [gilden-sammelbestellung]=gilden-wappen@1
  [avisos-de-entrega]=avisos@5 [preguntas-de-suscriptores]=franquicia-0001@1 [resumen-semanal]=resumen@2 [pruebas]=resumen@2)
plan=([gravur-vorschau]="4000 20000" [kunden-fragen]="4000 20000" [gilden-sammelbestellung]="1500 8000"
  [avisos-de-entrega]="3000 18000" [preguntas-de-suscriptores]="3000 18000" [resumen-semanal]="1200 9000" [pruebas]="50 400")
issue_keys "${workspaces[@]}"
write_fleet $run/demo.ini "${workspaces[@]}"
{
  printf '\n[models]\n'
  for w in "${workspaces[@]}"; do printf '%s = %s\n' "$w" "${model[$w]}"; done
  printf '\n[plans]\n'
  for w in "${workspaces[@]}"; do printf '%s = %s\n' "$w" "${plan[$w]}"; done
} >>$run/demo.ini.part
mv $run/demo.ini.part $run/demo.ini

if [ "$mode" = up ]; then
  echo "the demo is ready: $run/demo.ini"
  while :; do sleep 3600 & wait $! || true; done
fi

heading() { printf '\n== %s\n' "$1"; }
send() { $standin request "$@"; echo; }
first=${address[instance-1]}
second=${address[instance-2]}
auth() { echo "Authorization: Bearer ${key[$1]}"; }
chat() { printf '{"model":"%s","max_tokens":6,"stream":%s,"messages":[{"role":"user","content":"%s"}]}' "$1" "$2" "$3"; }

heading "which address to use"
send --header "$(auth gravur-vorschau)" GET "http://$first/v1/instances"
heading "a plain model request"
send --header "$(auth gravur-vorschau)" POST "http://$first/v1/chat/completions" "$(chat gravur-0001 false 'engrave a raven')" | tee $run/plain.txt
heading "a streamed model request"
send --header "$(auth avisos-de-entrega)" POST "http://$second/v1/chat/completions" "$(chat avisos@5 true 'avisar antes del amanecer')"
heading "a refused request: another workspace's adapter"
send --header "$(auth pruebas)" POST "http://$first/v1/chat/completions" "$(chat gravur-0001 false hello)"
heading "a refused request: over the rate"
long='{"model":"resumen@2","max_tokens":250,"messages":[{"role":"user","content":"resumen"}]}'
for _ in 1 2 3; do
  send --header "$(auth pruebas)" POST "http://$first/v1/chat/completions" "$long" >$run/over.txt
  grep -q 'status 429' $run/over.txt && break
done
cat $run/over.txt
heading "a booking, sent twice through two instances"
for a in "$first" "$second"; do
  send --header "$(auth gilden-sammelbestellung)" --header "Idempotency-Key: demo-booking-1" POST "http://$a/orders/book" '{"towers":12}'
done
heading "a withdrawn key"
$gg key withdraw "${key_id[kunden-fragen]}"
send --header "$(auth kunden-fragen)" POST "http://$second/v1/chat/completions" "$(chat holzkunde@3 false oak)"
heading "the time line of the plain request"
$gg timeline --request "$(sed -n 's/^X-Request-Id: //p' $run/plain.txt)"
heading "graceful stop"
stop_all
echo "stopped"
