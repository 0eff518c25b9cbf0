#!/usr/bin/env python3
"""Runs the deployments of testdata/sites.yaml: scripts/regress.py BENCH FOLDER

  --hunt, --score   run only hunts, or only scores
  --only TEXT       run only sites whose name contains TEXT
  --jobs N          cores to use

Searches FOLDER and its subfolders for the site files. Prints the last lines of each
hunt and score, and exits with 1 if a rule was broken or a gate failed.
"""
import argparse, glob, os, re, subprocess, sys

parser = argparse.ArgumentParser()
parser.add_argument("bench")
parser.add_argument("folder")
parser.add_argument("--hunt", action="store_true")
parser.add_argument("--score", action="store_true")
parser.add_argument("--only", default="")
parser.add_argument("--jobs", default="4")
args = parser.parse_args()
run_both = not (args.hunt or args.score)
here = os.path.dirname(os.path.abspath(__file__))
deployments = re.findall(r"- site: (\S+)\n  hunt: (\d+)\n  score: (\S+)", open(os.path.join(here, "..", "testdata", "sites.yaml")).read())
failures = 0


def run_bench(verb, site, *extra):
    """Runs a verb of the bench on a site, prints a summary and returns the output."""
    out = subprocess.run([args.bench, verb, site, "--jobs", args.jobs, "--why", "regression runs", *extra], capture_output=True, text=True).stdout
    broken = [line for line in out.splitlines() if "rule broken" in line or "BROKEN" in line]
    print(f"== {verb} {os.path.basename(site)}\n" + "\n".join(broken + out.splitlines()[-14:]), flush=True)
    return out


for name, days, score in deployments:
    if args.only not in name:
        continue
    site = (glob.glob(os.path.join(args.folder, "**", name + ".toml"), recursive=True) or [None])[0]
    if site is None:
        failures += 1
        print(name, "NO SITE FILE")
        continue
    if run_both or args.score and score == "yes":
        if score == "yes":
            failures += "GATE passed" not in run_bench("score", site)
    if run_both or args.hunt:
        failures += ", 0 with a rule broken" not in run_bench("hunt", site, "--days", days)
sys.exit(failures > 0)
