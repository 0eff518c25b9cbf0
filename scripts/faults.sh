#!/usr/bin/env bash
# scripts/faults.sh DEPLOYMENT: runs ./demo without faults, with each fault class of
# the trace, and with all of them plus the demo's drain and kills. Prints the
# measures as a Markdown table.
set -euo pipefail
cd "$(dirname "$0")/.."
dep=${1:-rimac}
run_demo() { # run_demo LABEL KILLS FAULTS
	local summary
	summary=$(DEMO_KILLS=$2 ./demo "$dep" -json -faults "$3" 2>/dev/null | tail -n 1)
	python3 -c '
import json,sys
summary=json.loads(sys.argv[2])
print("| %s | %d/%d | %d | %d | %d | %.1f | %.1f | %.1f | %d | %d | %d | %d |" % (sys.argv[1], summary["complete"], summary["answers"], summary["notRun"],
  summary["missing"]+summary["repeated"]+summary["mixed"], summary["resumes"], summary["resumeP50Ms"], summary["resumeP99Ms"], summary["shortP99Ms"],
  summary["extraTokens"], summary["recomputedTokens"], summary["doubleCharges"], summary["tableWrites"]))' "$1" "$summary"
}
echo "| $dep: faults | whole | not run | missing+repeated+mixed | resumes | resume p50 ms | resume p99 ms | short p99 ms | extra tokens | recomputed tokens | double charges | table writes |"
echo "|---|---|---|---|---|---|---|---|---|---|---|---|"
run_demo "none" 0 none
for fault in pauseEngine killEngine partition pauseAgent storeDown lostAck; do run_demo "$fault" 0 "$fault"; done
run_demo "all + drain + SIGKILL 2 engines, 1 entry" 1 all
