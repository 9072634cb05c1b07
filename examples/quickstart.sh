#!/usr/bin/env bash
# Builds everything, runs the Britasol deployment as separate processes on loopback, sends work and checks
# every answer. Exits 0 only if all of them were exact and everything stopped gracefully.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --workspace --locked --quiet
bin="${CARGO_TARGET_DIR:-target}/debug"
case "$bin" in /*) ;; *) bin="$PWD/$bin" ;; esac
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT

cp examples/britasol/*.json "$work"
instances=(campina-1 caruaru-1 petrolina-1)
"$bin/teaselctl" keys --directory "$work/keys" "${instances[@]}"
"$bin/teaselctl" check "$work/configuration.json"
for name in "${instances[@]}"; do "$bin/teaselctl" check "$work/$name.json"; done
# Only these three run here, so only they are on the platform's list.
cat > "$work/instances.json" <<'LIST'
{"revision": 1, "instances": [
  {"name": "campina-1", "domain": "campina", "peers": "127.0.0.1:22200", "leaving": false},
  {"name": "caruaru-1", "domain": "caruaru", "peers": "127.0.0.1:22202", "leaving": false},
  {"name": "petrolina-1", "domain": "petrolina", "peers": "127.0.0.1:22206", "leaving": false}
]}
LIST

cd "$work"
"$bin/teaselshunt-standin" platform --listen 127.0.0.1:22300 --configuration configuration.json \
  --instances instances.json &
pids+=($!)
"$bin/teaselshunt-standin" fleet --configuration configuration.json &
pids+=($!)
daemons=()
for name in "${instances[@]}"; do
  "$bin/teaselshuntd" "$name.json" > "$name.audit" 2> "$name.log" &
  daemons+=($!)
  pids+=($!)
done

if ! "$bin/teaselshunt-standin" ask --long laudo-summary --quick balcao-lookup --service bookings \
  127.0.0.1:22000 127.0.0.1:22002 127.0.0.1:22006; then
  tail -n 20 ./*.log ./*.audit
  exit 1
fi
"$bin/teaselctl" status 127.0.0.1:22100 127.0.0.1:22102 127.0.0.1:22106

for pid in "${daemons[@]}"; do kill -TERM "$pid"; done
for pid in "${daemons[@]}"; do wait "$pid"; done
for pid in "${pids[@]:0:2}"; do kill -TERM "$pid"; wait "$pid"; done
echo "every answer was exact, and every instance stopped gracefully"
