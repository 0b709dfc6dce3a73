# Functions that start and stop a fleet with stand-ins of the external systems, each in its own
# process on this machine. The other scripts source this file and, before they call start_fleet,
# set:
#   engines, services, instances  number of processes of each kind
#   slots                         adapter slots of an engine
#   load_rate                     adapter loads per second that the weight store allows
#   zones                         array of the names of the availability zones
#   policy                        placement policy
# DEMO_PORT is the lowest port in use. start_fleet sets engine_addresses and fills pids, address
# and mesh by process name; issue_keys fills key and key_id by workspace.
base=${DEMO_PORT:-23100}
run=run
host=127.0.0.1
platform=$host:$base
gg=bin/gentiangauge
standin=bin/standin
export GENTIANGAUGE_TABLE=$platform

declare -A pids address mesh key key_id
# Names of the processes in the order in which they were started.
started=()

# start NAME COMMAND... runs a command in the background, with its output in $run/NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  pids[$name]=$!
  started+=("$name")
}

# announce OPTION... sets an entry of the platform's directory.
announce() {
  $standin announce --platform "$platform" "$@"
}

# zone_of NUMBER prints the zone of a process; zones are assigned round-robin.
zone_of() {
  echo "${zones[$((($1 - 1) % ${#zones[@]}))]}"
}

# stop_one NAME terminates a process and waits for its end.
stop_one() {
  local pid=${pids[$1]:-}
  [ -n "$pid" ] || return 0
  kill -TERM "$pid" 2>/dev/null || true
  wait "$pid" 2>/dev/null || true
  unset "pids[$1]"
}

# stop_all announces that the instances are leaving and stops them before the stand-ins that
# they use.
stop_all() {
  trap - EXIT INT TERM
  local name
  for name in "${started[@]}"; do
    case $name in
      instance-*)
        announce --id "$name" --kind entry --address "${address[$name]}" --mesh "${mesh[$name]}" --state leaving || true
        kill -TERM "${pids[$name]:-0}" 2>/dev/null || true
        ;;
    esac
  done
  for name in "${started[@]}"; do case $name in instance-*) stop_one "$name" ;; esac; done
  for name in "${started[@]}"; do stop_one "$name"; done
}

# write_settings NAME ZONE PORT writes the settings file of an instance, which uses three ports.
write_settings() {
  local name=$1 zone=$2 port=$3
  cat >"$run/$name.ini" <<INI
[instance]
name = $name
zone = $zone
address = $host:$port
mesh-address = $host:$((port + 1))
operator-address = $host:$((port + 2))

[platform]
table-address = $platform
object-address = $platform
directory-address = $platform

[caller]
address-seconds = 2

[loads]
rate-per-second = $load_rate

[placement]
policy = $policy

[pool model]
kind = engine
adapter-slots = $slots
concurrency = 16
fencing = checked

[pool application]
kind = service

[route orders]
prefix = /orders
pool = application
access = keyed
idempotent = no

[route catalogue]
prefix = /catalogue
pool = application
access = open
idempotent = yes
INI
}

# start_instance NUMBER announces and starts an instance.
start_instance() {
  local i=$1 name=instance-$1 port=$((base + 100 + 10 * $1))
  address[$name]=$host:$port
  mesh[$name]=$host:$((port + 1))
  write_settings "$name" "$(zone_of "$i")" "$port"
  announce --id "$name" --kind entry --zone "$(zone_of "$i")" --address "$host:$port" --mesh "$host:$((port + 1))"
  start "$name" $gg instance --settings "$run/$name.ini"
}

# fleet_ready succeeds when every instance sees all instances as members and none is not serving.
fleet_ready() {
  [ "$($gg status 2>/dev/null | grep -c "members=$instances" || true)" = "$instances" ] && ! $gg status | grep -q not-serving
}

# start_fleet starts all processes and waits until the instances are ready, with 300 attempts
# 0.1 s apart.
start_fleet() {
  local i engine_list=
  mkdir -p $run
  rm -f $run/*.log $run/*.ini $run/*.txt
  trap stop_all EXIT
  trap 'exit 0' INT TERM
  start platform $standin platform --listen "$platform" --loads-per-second "$load_rate"
  until announce --id none --state gone 2>/dev/null; do sleep 0.05; done
  for ((i = 1; i <= engines; i++)); do
    start "engine-$i" $standin engine --listen "$host:$((base + 10 + i))" --weights "$platform" --slots "$slots" --checks-fencing
    announce --id "engine-$i" --kind upstream --pool model --zone "$(zone_of "$i")" --address "$host:$((base + 10 + i))"
    engine_list=${engine_list:+$engine_list,}$host:$((base + 10 + i))
  done
  for ((i = 1; i <= services; i++)); do
    start "application-$i" $standin service --listen "$host:$((base + 50 + i))" --name "application-$i"
    announce --id "application-$i" --kind upstream --pool application --zone "$(zone_of "$i")" --address "$host:$((base + 50 + i))"
  done
  for ((i = 1; i <= instances; i++)); do start_instance "$i"; done
  for _ in $(seq 300); do fleet_ready && break; sleep 0.1; done
  fleet_ready || { echo "the instances did not become ready; see $run/*.log" >&2; exit 1; }
  engine_addresses=$engine_list
}

# issue_keys WORKSPACE... creates a key for each workspace.
issue_keys() {
  local w output
  for w in "$@"; do
    output=$($gg key give "$w")
    key[$w]=$(sed -n 's/^key //p' <<<"$output")
    key_id[$w]=$(sed -n 's/^id //p' <<<"$output")
  done
}

# write_fleet FILE WORKSPACE... writes the addresses, process ids and keys of the fleet to
# FILE.part. The caller renames it to FILE when complete, so that no reader sees a partial file.
write_fleet() {
  local file=$1 name w addresses=
  shift
  for name in "${started[@]}"; do
    case $name in instance-*) addresses=${addresses:+$addresses,}${address[$name]} ;; esac
  done
  {
    printf '[instances]\naddresses = %s\n\n[engines]\naddresses = %s\n\n[processes]\n' "$addresses" "$engine_addresses"
    for name in "${started[@]}"; do printf '%s = %s\n' "$name" "${pids[$name]}"; done
    printf '\n[keys]\n'
    for w in "$@"; do printf '%s = %s\n' "$w" "${key[$w]}"; done
    printf '\n[key-ids]\n'
    for w in "$@"; do printf '%s = %s\n' "$w" "${key_id[$w]}"; done
    printf '\n[operator]\ncommand = env GENTIANGAUGE_TABLE=%s %s/%s\n' "$platform" "$PWD" "$gg"
  } >"$file.part"
}
