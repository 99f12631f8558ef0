#!/usr/bin/env bash
# Starts or stops a small site on loopback addresses: the stand-ins in one process and three nodes in one each.
# Settings, logs and process ids are kept in the folder site/, which is not committed.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=site
net=127.0.77

node_settings() { # number
  cat <<EOF
node = "node-$1"
site = "site"
centre = "centre-$1"
peer = "$net.$1:7000"
http = "$net.$1:8000"
admin = "$net.$1:9000"
tables = ["$net.100:7000"]
objects = ["$net.100:7001"]
hosts = ["$net.100:7002"]
secrets = ["a shared key of the site's nodes"]
operators = ["$(printf site-operator-key | sha256sum | cut -d' ' -f1)"]
EOF
}

declarations() {
  mkdir -p "$dir/table"
  printf 'name,weight,requests,tokens,keys\nparish,1,,,%s\n' "$(printf parish-key | sha256sum | cut -d' ' -f1)" >"$dir/table/tenants.csv"
  printf 'name,base,store,plain\nwriters,base,weights,\n' >"$dir/table/groups.csv"
  printf 'name,group,addr,centre,slots,batch,fences,resumes,leaving\n' >"$dir/table/runners.csv"
  printf 'name,tenant,group,versions,requests,tokens,pinned\n' >"$dir/table/adapters.csv"
  for i in 0 1 2; do echo "runner-$i,writers,$net.11$i:8000,centre-1,4,16,true,true," >>"$dir/table/runners.csv"; done
  for i in $(seq 0 19); do echo "adapter-$i,parish,writers,v1:1,,," >>"$dir/table/adapters.csv"; done
}

launch() { # name, program and arguments
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  echo "$!" >>"$dir/pids"
}

# listed waits until all nodes are listed: a change that is applied before is in force on none of them yet.
listed() {
  for _ in $(seq 100); do
    if bin/damaskctl --config "$dir/node-1.toml" --key-file "$dir/operator.key" status 2>/dev/null | grep -qE '^nodes +3[^0-9]'; then
      return
    fi
    sleep 0.1
  done
  echo "site: not all nodes are listed after 10 s" >&2
}

start() {
  [ ! -e "$dir/pids" ] || { echo "site: $dir/pids exists; run '$0 stop' first" >&2; exit 1; }
  mkdir -p "$dir"
  rm -rf "$dir/table" # what was applied to an earlier site is not known to this one
  launch stand bin/damaskstand --table "$net.100:7000" --objects "$net.100:7001" --hosts "$net.100:7002" --admin "$net.100:7003" \
    --engine "runner-0=$net.110:8000,slots=4,resumes=true" --engine "runner-1=$net.111:8000,slots=4,resumes=true" \
    --engine "runner-2=$net.112:8000,slots=4,resumes=true"
  for i in 1 2 3; do
    node_settings "$i" >"$dir/node-$i.toml"
    launch "node-$i" bin/damaskreach --config "$dir/node-$i.toml"
  done
  declarations
  echo site-operator-key >"$dir/operator.key"
  listed
  bin/damaskctl --config "$dir/node-1.toml" --key-file "$dir/operator.key" --by site.sh apply "$dir/table"
  cat <<EOF
The site runs. Ask it, for instance:
  curl -sN -H 'Authorization: Bearer parish-key' http://$net.1:8000/v1/completions \\
    -d '{"model":"adapter-1","prompt":"pour schedule","max_tokens":8,"stream":true}'
Look at it, and ask why:
  bin/damaskctl --config $dir/node-1.toml --key-file $dir/operator.key status
  bin/damaskctl --config $dir/node-1.toml --key-file $dir/operator.key explain --adapter adapter-1
or in a browser, with any name and the password site-operator-key: http://$net.1:9000/
Stop it with 'make site-stop'.
EOF
}

stop() {
  [ -e "$dir/pids" ] || { echo "site: nothing to stop"; return; }
  while read -r pid; do
    kill -TERM "$pid" 2>/dev/null || true
  done <"$dir/pids"
  rm -f "$dir/pids"
}

case "${1:-}" in
start) start ;;
stop) stop ;;
*) echo "usage: $0 start|stop" >&2; exit 2 ;;
esac
