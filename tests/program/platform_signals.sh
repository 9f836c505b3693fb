#!/bin/sh
# Sends signals to a control plane instance on the platform: reloads a valid and an invalid configuration, then
# terminates the instance while reloads are pending. First argument: path of the program.
set -eu
folder=$(mktemp -d)
pid=
trap '[ -z "$pid" ] || kill -9 "$pid" 2>/dev/null || true; rm -rf "$folder"' EXIT
config=$folder/config.json
cat > "$config" <<'J'
{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1f","limits":{"sockets":96},
"known":{"revision":1,"complete":true,"members":[]},"settings":{"quantum-s":0.001,"azs":["east"],"skus":["new"],"zone":0,
"n-instances":1,"membership-mode":"automatic","allowed":{"may-probe":false},"report":{"via":"silent","columns":[]},
"classes":[{"name":"read","effect":"idempotent","on-time-s":1.0,"deadline-s":3.0,"worth":1.0}],
"contract":{"ask-within-s":10.0,"stop-sending-within-s":3.0,"cold-from":0.25,"cold-s":8.0,"tip-multiple":2.5,"fall-s":3.0},
"family-info":{"admit":"share","selects-by":"round","home-only":[false],"proxy-count":10,"ranges":0,"exclusive":false,
"report-every-s":1.0,"transit-max-s":0.1,"bare-s":5.0,"channel-rate":5000.0,"most-waiting":10000.0,"head":6.0,
"pushes-allowed":12,"counted-over-s":10.0,"default-retry":1}}}
J
ROUTER_CONFIG=$config "$1" platform 2> "$folder/log" &
pid=$!
logged() {
  tries=0
  until grep -q "$1" "$folder/log"; do
    tries=$((tries + 1))
    if [ "$tries" -gt 100 ] || ! kill -0 "$pid"; then echo "not logged within 10 s or before the exit of the program: $1"; cat "$folder/log"; exit 1; fi
    sleep 0.1
  done
}
logged "serving at"
kill -HUP "$pid"
logged "read again"
cp "$config" "$folder/good"
echo "{" > "$config"
kill -HUP "$pid"
logged "changes nothing: $config: no JSON"
# Restores the valid configuration, then sends two reload signals and a termination signal in quick succession, so
# that each signal may arrive while the previous one is handled. The program must exit with status 0.
mv "$folder/good" "$config"
kill -HUP "$pid"
kill -HUP "$pid"
kill -TERM "$pid"
status=0
wait "$pid" || status=$?
pid=
[ "$status" -eq 0 ]
