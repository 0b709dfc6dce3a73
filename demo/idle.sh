#!/usr/bin/env bash
# Measures the control-plane overhead of an idle fleet at several sizes: CPU time, mesh traffic,
# memory and table reads.
#   idle.sh [SIZE...]  prints one line per size (number of instances): means per instance, and
#                      the table reads of the whole fleet
# SPAN is the length of a measurement in seconds.
set -euo pipefail
cd "$(dirname "$0")/.."
. demo/fleet.sh

span=${SPAN:-20}
engines=6 services=1 slots=16 load_rate=3 policy=affinity
zones=(zone-1 zone-2 zone-3)

# cpu_ticks prints the CPU time of all instances so far, in clock ticks.
cpu_ticks() {
  local sum=0 i
  for ((i = 1; i <= instances; i++)); do
    sum=$((sum + $(awk '{ print $14 + $15 }' "/proc/${pids[instance-$i]}/stat")))
  done
  echo $sum
}

# mesh_bytes prints the bytes that all instances have exchanged over the mesh so far.
mesh_bytes() {
  local i
  for ((i = 1; i <= instances; i++)); do
    $standin request --body-only GET "http://$host:$((base + 100 + 10 * i + 2))/metrics" | awk '/^gentiangauge_mesh_bytes_total/ { s += $2 } END { printf "%.0f\n", s }'
  done | awk '{ s += $1 } END { printf "%.0f\n", s }'
}

# memory_megabytes prints the mean resident memory of the instances.
memory_megabytes() {
  local i
  for ((i = 1; i <= instances; i++)); do awk '/VmRSS/ { print $2 }' "/proc/${pids[instance-$i]}/status"; done |
    awk '{ s += $1 } END { printf "%.1f\n", s / NR / 1024 }'
}

# table_reads prints the number of reads at the table service so far.
table_reads() {
  $standin request --body-only GET "http://$platform/stats" | sed 's/.*"reads":\([0-9]*\).*/\1/'
}

printf '%s\n' "instances cpu-percent-each mesh-bytes-a-second-each memory-MB-each table-reads-a-second"
for instances in "${@:-3}"; do
  start_fleet
  $gg load lists --preset wuerfelturm --directory $run
  $gg lists apply --plans $run/plans.ini --uses $run/uses.ini >/dev/null
  sleep 5
  ticks_before=$(cpu_ticks) bytes_before=$(mesh_bytes) reads_before=$(table_reads)
  sleep "$span"
  ticks_after=$(cpu_ticks) bytes_after=$(mesh_bytes) reads_after=$(table_reads)
  awk -v n="$instances" -v s="$span" -v c=$((ticks_after - ticks_before)) -v b=$((bytes_after - bytes_before)) -v r=$((reads_after - reads_before)) -v m="$(memory_megabytes)" \
    'BEGIN { printf "%d %.2f %.0f %s %.0f\n", n, c / s / n, b / s / n, m, r / s }'
  stop_all
  started=()
done
