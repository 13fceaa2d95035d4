#!/usr/bin/env bash
# Plays the days under deploy/days on one site with the users' bench and prints a line for each.
# Usage: scripts/days.sh BENCH SITE [JOBS] [DAY...]
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1
site=$2
jobs=${3:-4}
shift $(($# < 3 ? $# : 3))
days=("$@")
if [ ${#days[@]} -eq 0 ]; then days=(deploy/days/*.toml); fi
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

play() {
  "$1" run "$2" "$3" --until 26 --why "own day $(basename "$3" .toml)" >"$4/$(basename "$3" .toml)" 2>&1 || true
}
export -f play
printf '%s\n' "${days[@]}" | xargs -P "$jobs" -I{} bash -c 'play "$@"' _ "$bench" "$site" {} "$out"
for file in "$out"/*; do
  grep -E "^$(basename "$file") " "$file" | cut -c1-170 || echo "$(basename "$file") did not play: $(tail -n 1 "$file")"
  grep -E '^[A-Z]+ at ' "$file" || true
done
