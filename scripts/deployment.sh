# Sourced by demo and walk: starts a whole deployment on this machine, and stops it at the end.
# Needs: $deployment (bzh-ouest or rs-sul). Gives: $folder, $bin, $backends (a process id).

folder=$(mktemp -d)
bin=target/release
declare -a started=()

stop_all() {
    for pid in "${started[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    if [ -n "${KEEP_DEMO:-}" ]; then echo "kept: $folder"; else rm -rf "$folder"; fi
}
trap stop_all EXIT

start() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >"$folder/$name.log" 2>&1 &
    started+=($!)
}

stop() { # PID
    kill -TERM "$1" 2>/dev/null || true
    wait "$1"
}

# Waits for an event, not for a time; gives up after a minute and shows the logs.
wait_until() { # COMMAND...
    local try=0
    until "$@" >/dev/null 2>&1; do
        try=$((try + 1))
        if [ "$try" -ge 1200 ]; then
            echo "still waiting for: $*" >&2
            cat "$folder"/*.log >&2
            exit 1
        fi
        sleep 0.05
    done
}

admin_addresses() { # in the order of the balancers' numbers
    for id in 1 2 3 4 5 6 7 8; do
        sed -n 's/^admin_address = "\(.*\)"/\1/p' "$folder/balancer-$id.toml"
    done
}

everybody_hears_everybody() {
    local status
    status=$("$bin/valvectl" status)
    [ "$(grep -c 'hears 7 of 7 others' <<<"$status")" = 8 ] &&
        [ "$(grep -c '^Service' <<<"$status")" = 2 ]
}

start_deployment() {
    cargo build --release --quiet --workspace --bins
    "$bin/standin-layout" --folder "$folder" --deployment "$deployment"
    start platform "$bin/standin-platform" --folder "$folder"
    start backends "$bin/standin-backends" --folder "$folder"
    backends=$!
    for id in 1 2 3 4 5 6 7 8; do
        start "balancer-$id" "$bin/valvestage-balancer" --settings "$folder/balancer-$id.toml"
    done
    start operator "$bin/valvestage-operator" --settings "$folder/operator.toml"
    start fabric "$bin/standin-fabric" --folder "$folder"

    VALVESTAGE_OPERATOR=$(sed -n 's/^listen_address = "\(.*\)"/\1/p' "$folder/operator.toml")
    VALVESTAGE_TOKEN_FILE=$folder/operator.token
    export VALVESTAGE_OPERATOR VALVESTAGE_TOKEN_FILE

    wait_until "$bin/valvectl" bootstrap --deployment "$folder/deployment.toml"
    for address in $(admin_addresses); do
        wait_until "$bin/standin-fetch" "$address" /readyz
    done
    wait_until everybody_hears_everybody
}
