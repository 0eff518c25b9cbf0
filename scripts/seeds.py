#!/usr/bin/env python3
"""Runs the days of testdata/seeds.yaml: scripts/seeds.py BENCH FOLDER

Searches FOLDER and its subfolders for the site files. Prints the result of each day,
and exits with 1 if a rule was broken or a day was not run.
"""
import glob, os, re, subprocess, sys

bench, folder = sys.argv[1:3]
here = os.path.dirname(os.path.abspath(__file__))
days = re.findall(r"- site: (\S+)\n  day: (\S+)\n  seed: (\d+)", open(os.path.join(here, "..", "testdata", "seeds.yaml")).read())
failures = 0
for site, day, seed in days:
    if day.endswith(".toml"):
        day = os.path.join(here, "..", day)
    seed_args = ["--seed", seed] if seed != "0" else []
    site_files = glob.glob(os.path.join(folder, "**", site + ".toml"), recursive=True)
    if not site_files:
        failures += 1
        print(site, "NO SITE FILE")
        continue
    out = subprocess.run([bench, "run", site_files[0], day, *seed_args], capture_output=True, text=True).stdout
    lines = out.splitlines()
    result = next((lines[i + 1] for i, line in enumerate(lines[:-1]) if line.startswith("day ")), "NOT PLAYED")
    failures += "BROKEN" in result or "NOT PLAYED" in result
    print(site, result)
print(f"{len(days)} days, {failures} wrong")
sys.exit(failures > 0)
