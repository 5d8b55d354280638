#!/usr/bin/env bash
# Measures what the processes of an idle deployment cost: tools/idle.sh FILE SECONDS
# FILE is a deployment as in examples/. It prints for each role the number of
# processes and, for one process on average, processor time in percent of a
# core, resident memory in MB, and TCP bytes sent a second.
set -euo pipefail
cd "$(dirname "$0")/.."
file=$1
seconds=${2:-30}
./bin/demo -deployment "$file" -hold >/dev/null 2>&1 &
demo=$!
trap 'kill $demo 2>/dev/null; wait $demo 2>/dev/null || true' EXIT
sleep 8

# Children of the demo that run a role: "role pid" lines.
roles() {
  for p in $(pgrep -P "$demo"); do
    role=$(tr '\0' ' ' <"/proc/$p/cmdline" | awk '{print $2}')
    case $role in entry | sched | depot) echo "$role $p" ;; esac
  done
}

# "role ticks bytes kilobytes" for each process.
sample() {
  ss -tinp 2>/dev/null >/tmp/idle.$$
  roles | while read -r role pid; do
    ticks=$(awk '{print $14 + $15}' "/proc/$pid/stat")
    bytes=$(awk -v pid="pid=$pid," 'index($0, pid) {f=1; next} f {if (match($0, /bytes_sent:[0-9]+/)) s += substr($0, RSTART+11, RLENGTH-11); f=0} END {print s+0}' /tmp/idle.$$)
    rss=$(awk '/VmRSS/ {print $2}' "/proc/$pid/status")
    echo "$role $ticks $bytes $rss"
  done
  rm -f /tmp/idle.$$
}

a=$(sample)
sleep "$seconds"
b=$(sample)
paste <(echo "$a") <(echo "$b") | awk -v s="$seconds" -v hz="$(getconf CLK_TCK)" '
  {n[$1]++; t[$1] += $6 - $2; d[$1] += $7 - $3; m[$1] += $8}
  END {for (r in n) printf "%s: %d processes, %.2f%% of a core, %.1f MB, %.0f bytes/s\n", r, n[r], 100*t[r]/n[r]/hz/s, m[r]/n[r]/1024, d[r]/n[r]/s}' | sort
