# Sourced by the benchmarks: runs a whole cell on the loopback interface and stops its processes by pid.
# cell_start ZONES DAEMONS_A_ZONE UPSTREAMS_A_ZONE SLOTS, then $cell_entries, cell_tool, cell_leader ZONE, cell_pid VM, cell_stop.

cell_bin="$PWD/build/bin"
cell_work="$PWD/build/bench/cell"
cell_port="${BENCH_PORT:-18100}"
cell_pids=()

cell_stop() {
    local pid
    for pid in "${cell_pids[@]:-}"; do
        [ -z "$pid" ] || kill -CONT "$pid" 2>/dev/null || true
        [ -z "$pid" ] || kill "$pid" 2>/dev/null || true
    done
    for pid in "${cell_pids[@]:-}"; do
        [ -z "$pid" ] || wait "$pid" 2>/dev/null || true
    done
    cell_pids=()
}
trap cell_stop EXIT
trap 'exit 130' INT TERM

cell_tool() { "$cell_bin/cranberryreel" "$@" --key-file "$cell_work/operator.key"; }
cell_pid() { cat "$cell_work/$1.pid"; }
cell_leader() { cell_tool zones --json | tr -d ' \n' | grep -o "\"leader\":\"$1-[a-z]*\"" | head -n 1 | cut -d'"' -f4; }
cell_address() { cat "$cell_work/$1.address"; }
cell_metric() { # cell_metric VM NAME_WITH_LABELS
    curl -s -m 2 "http://$(cell_address "$1")/metrics" | awk -v name="$2" 'index($0, name " ") == 1 { print $2 }'
}

# cell_eventually SECONDS COMMAND...: repeats a check until it succeeds; fails after SECONDS.
cell_eventually() {
    local until=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$until" ] || { echo "bench: check did not succeed in time: $*" >&2; return 1; }
        sleep 0.2
    done
}

cell_placing() { [ "$(cell_tool zones --json | grep -c '"placing": true')" -eq "$cell_zone_count" ]; }
cell_accepting() { [ "$(cell_tool upstreams --json | grep -c '"accepting": true')" -eq "$cell_upstream_count" ]; }

cell_launch() { # cell_launch VM
    "$cell_bin/cranberryreeld" --settings "$cell_work/$1.ini" >>"$cell_work/$1.out" 2>&1 &
    cell_pids+=("$!")
    echo "$!" >"$cell_work/$1.pid"
}

cell_settings() { # cell_settings VM ZONE LINK_PORT HTTP_PORT DISK
    local folder=""
    if [ "$5" = yes ]; then
        mkdir -p "$cell_work/$1.data"
        folder="data_folder = $cell_work/$1.data"
    fi
    cat >"$cell_work/$1.ini" <<EOF
[daemon]
vm = $1
zone = $2
$folder
[entry]
listen = 127.0.0.1:$4
operator_key_sha256 = $(printf 'operator-key' | sha256sum | cut -d' ' -f1)
[link]
listen = 127.0.0.1:$3
key_file = $cell_work/link.key
$cell_sections
[log]
level = warn
EOF
    echo "127.0.0.1:$4" >"$cell_work/$1.address"
}

cell_start() {
    cell_zone_count="$1"
    local daemons="$2" upstreams="$3" slots="$4" zone number name port=0 peers="" zones="" register=""
    cell_upstream_count=$((cell_zone_count * upstreams))
    rm -rf "$cell_work"
    mkdir -p "$cell_work"
    echo "bench-link-key" >"$cell_work/link.key"
    printf 'operator-key' >"$cell_work/operator.key"
    printf 'north-key' >"$cell_work/north.key"
    cell_vms=()
    for zone in $(seq 1 "$cell_zone_count"); do
        local members=""
        for number in $(seq 1 "$daemons"); do
            name="z$zone-$(printf "\\$(printf '%03o' $((96 + number)))")"
            cell_vms+=("$name")
            peers+="$name = 127.0.0.1:$((cell_port + port)) zone=z$zone disk=$([ "$number" -eq 1 ] && echo yes || echo no)"$'\n'
            members+="${members:+, }$name"
            port=$((port + 1))
        done
        zones+="[zone z$zone]"$'\n'"members = $members"$'\n'
        if [ $((daemons % 2)) -eq 0 ] && [ "$cell_zone_count" -gt 1 ]; then
            zones+="witness = z$((zone % cell_zone_count + 1))-a"$'\n'
        fi
        for number in $(seq 1 "$upstreams"); do
            register+="[vm z$zone-w$number]"$'\n'"zone = z$zone"$'\n'"rack = z$zone-r$((number / 6))"$'\n'"cpu_cores = 64"$'\n'"memory_gib = 128"$'\n'"accelerators = 2"$'\n'
        done
    done
    register+="[partner north]"$'\n'"key_sha256 = $(printf 'north-key' | sha256sum | cut -d' ' -f1)"$'\n'
    local group="z1-a"
    [ "$cell_zone_count" -lt 3 ] || group="z1-a, z2-a, z3-a"
    cell_sections="[peers]"$'\n'"$peers$zones[config_group]"$'\n'"members = $group"
    printf '%s' "$register" >"$cell_work/register.ini"
    printf '[scheduling]\nprofile = waiting_time\n[partner north]\nweight = 1\nmax_queued = 100000\n' >"$cell_work/rules.ini"
    local index=0 entries=()
    for name in "${cell_vms[@]}"; do
        cell_settings "$name" "${name%-*}" $((cell_port + index)) $((cell_port + 100 + index)) "$([ "${name##*-}" = a ] && echo yes || echo no)"
        entries+=("127.0.0.1:$((cell_port + 100 + index))")
        index=$((index + 1))
    done
    cell_entries=$(IFS=,; echo "${entries[*]}")
    export CRANBERRYREEL_ENTRIES="$cell_entries"
    for name in "${cell_vms[@]}"; do cell_launch "$name"; done
    cell_eventually 30 cell_placing_or_ready
    cell_eventually 20 cell_tool register load "$cell_work/register.ini"
    cell_eventually 20 cell_tool rules load "$cell_work/rules.ini"
    for zone in $(seq 1 "$cell_zone_count"); do
        for number in $(seq 1 "$upstreams"); do
            "$cell_bin/upstream_fake" --id "z$zone-u$number" --vm "z$zone-w$number" --zone "z$zone" --slots "$slots" --cpu 64000 --memory 131072 --accelerators 2 \
                --listen "127.0.0.1:$((cell_port + 200 + (zone - 1) * upstreams + number))" --entries "$cell_entries" >>"$cell_work/upstreams.out" 2>&1 &
            cell_pids+=("$!")
        done
    done
    cell_eventually 40 cell_accepting
    cell_eventually 40 cell_placing
}

cell_placing_or_ready() { [ "$(cell_tool config status --json | grep -c '"reachable": true')" -eq "${#cell_vms[@]}" ]; }
