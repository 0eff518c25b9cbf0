#!/usr/bin/env bash
# scripts/faults.sh DEPLOYMENT: runs ./demo once without faults and once per
# fault class of the trace (and once with all of them plus the script's
# drain and kills), and prints a Markdown table of the measures.
set -euo pipefail
cd "$(dirname "$0")/.."
dep=${1:-rimac}
row() { # row LABEL KILLS FAULTS
	local j
	j=$(DEMO_KILLS=$2 ./demo "$dep" -json -faults "$3" 2>/dev/null | tail -n 1)
	python3 -c '
import json,sys
s=json.loads(sys.argv[2])
print("| %s | %d/%d | %d | %d | %d | %.1f | %.1f | %.1f | %d | %d | %d | %d |" % (sys.argv[1], s["complete"], s["answers"], s["notRun"],
  s["missing"]+s["repeated"]+s["mixed"], s["resumes"], s["resumeP50Ms"], s["resumeP99Ms"], s["shortP99Ms"],
  s["extraTokens"], s["recomputedTokens"], s["doubleCharges"], s["tableWrites"]))' "$1" "$j"
}
echo "| $dep: faults | whole | not run | missing+repeated+mixed | resumes | resume p50 ms | resume p99 ms | short p99 ms | extra tokens | recomputed tokens | double charges | table writes |"
echo "|---|---|---|---|---|---|---|---|---|---|---|---|"
row "none" 0 none
for k in pauseEngine killEngine partition pauseAgent storeDown lostAck; do row "$k" 0 "$k"; done
row "all + drain + SIGKILL 2 engines, 1 entry" 1 all
