#!/usr/bin/env python3
"""Plays the deployments of testdata/sites.yaml: scripts/regress.py BENCH FOLDER

  --hunt, --score   only these
  --only TEXT       only sites whose name contains this
  --jobs N          cores to use

Site files are looked for in FOLDER and below it. Prints each hunt's last lines and
each score's table, and exits with 1 if a rule was broken or a gate failed.
"""
import argparse, glob, os, re, subprocess, sys

p = argparse.ArgumentParser()
p.add_argument("bench")
p.add_argument("folder")
p.add_argument("--hunt", action="store_true")
p.add_argument("--score", action="store_true")
p.add_argument("--only", default="")
p.add_argument("--jobs", default="4")
a = p.parse_args()
both = not (a.hunt or a.score)
here = os.path.dirname(os.path.abspath(__file__))
entries = re.findall(r"- site: (\S+)\n  hunt: (\d+)\n  score: (\S+)", open(os.path.join(here, "..", "testdata", "sites.yaml")).read())
bad = 0


def play(verb, site, *extra):
    """Plays a verb and returns what it printed."""
    out = subprocess.run([a.bench, verb, site, "--jobs", a.jobs, "--why", "regression runs", *extra], capture_output=True, text=True).stdout
    told = [line for line in out.splitlines() if "rule broken" in line or "BROKEN" in line]
    print(f"== {verb} {os.path.basename(site)}\n" + "\n".join(told + out.splitlines()[-14:]), flush=True)
    return out


for name, days, score in entries:
    if a.only not in name:
        continue
    site = (glob.glob(os.path.join(a.folder, "**", name + ".toml"), recursive=True) or [None])[0]
    if site is None:
        bad += 1
        print(name, "NO SITE FILE")
        continue
    if both or a.score and score == "yes":
        if score == "yes":
            bad += "GATE passed" not in play("score", site)
    if both or a.hunt:
        bad += ", 0 with a rule broken" not in play("hunt", site, "--days", days)
sys.exit(bad > 0)
