#!/usr/bin/env bash
# Runs the load of a model system against a fleet with the size of that system.
#   load.sh PRESET [OPTION...]  passes the options on to "gentiangauge load"
# POLICY=affinity|hash|any sets the placement policy. KILL=SECONDS kills instance-2 with SIGKILL
# after that time and removes it from the directory.
set -euo pipefail
cd "$(dirname "$0")/.."
. demo/fleet.sh

preset=${1:-wuerfelturm}
shift || true
policy=${POLICY:-affinity}
slots=16
case $preset in
  wuerfelturm)
    engines=12 services=3 instances=13 load_rate=3
    zones=(rosenheim traunstein landshut)
    workspaces=(gravur-vorschau kunden-fragen gilden-sammelbestellung versand-auskunft holz-beratung)
    ;;
  patos-del-lago)
    engines=18 services=3 instances=15 load_rate=4
    zones=(solola panajachel chimaltenango)
    workspaces=(avisos-de-entrega preguntas-de-suscriptores resumen-semanal rutas-del-amanecer pruebas)
    ;;
  *) echo "unknown preset $preset" >&2; exit 2 ;;
esac
start_fleet
$gg load lists --preset "$preset" --directory $run
$gg lists apply --plans $run/plans.ini --uses $run/uses.ini | tail -1
issue_keys "${workspaces[@]}"
write_fleet $run/load.ini "${workspaces[@]}"
mv $run/load.ini.part $run/load.ini
marks=()
if [ -n "${KILL:-}" ]; then
  marks=(--mark "${KILL}s=instance-2 killed")
  (sleep "$KILL"; kill -KILL "${pids[instance-2]}"; announce --id instance-2 --state gone) &
fi
status=0
$gg load --preset "$preset" --fleet $run/load.ini --plot $run/load.svg "${marks[@]}" "$@" || status=$?
echo "cpu seconds of the instances:"
for ((i = 1; i <= instances; i++)); do
  pid=${pids[instance-$i]}
  [ -r "/proc/$pid/stat" ] || continue
  awk -v name="instance-$i" '{ printf "%s %.2f s ", name, ($14 + $15) / 100 }' "/proc/$pid/stat"
  awk '/VmRSS/ { printf "%d MB\n", $2 / 1024 }' "/proc/$pid/status"
done
exit $status
