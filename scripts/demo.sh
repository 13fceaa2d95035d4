#!/usr/bin/env bash
# Starts the stand-ins and three daemons as separate processes on loopback, sends the load, and stops all of them.
# The system's own processes start nothing; this script is the operator who starts them.
set -euo pipefail
cd "$(dirname "$0")/.."
bench="packages/bench/dist/src/main.js"
daemon="packages/daemon/dist/src/main.js"
dir=$(mktemp -d)
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap stop_all EXIT

wait_for() {
  for _ in $(seq 100); do
    [ -e "$1" ] && return 0
    sleep 0.1
  done
  echo "demo: $1 did not appear" >&2
  exit 1
}

node "$bench" platform --dir "$dir" "$@" &
pids+=($!)
wait_for "$dir/ready"
for env_file in "$dir"/*.env; do
  (
    set -a
    # shellcheck disable=SC1090
    . "$env_file"
    exec node "$daemon"
  ) >"${env_file%.env}.log" 2>&1 &
  pids+=($!)
done
node "$bench" demo --dir "$dir" "$@"
