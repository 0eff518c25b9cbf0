#!/usr/bin/env python3
"""What each mechanism is worth: plays the days of a site with it switched off.

  scripts/ablate.py BENCH SITE... [--seeds 1,2,3] [--only NAME,...] [--folder DIR]

Each mechanism is switched off by a change of a line in a copy of the tree (the
product has no switches for them), and the standard days with trouble are played
in it without processor cost. Prints the mean worth of each variant and site,
with the standard error of its difference to the product on the same days and
seeds. The journal entries of the plays stay in the copies' journal/.
"""
import argparse, concurrent.futures, math, os, re, shutil, statistics, subprocess, tempfile

HERE = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
# name: file, text, replacement
CUTS = {
    "product": None,
    "copies": ("ingress/stream.go", "e == nil || !e.Backups ||", "e == nil || e != nil ||"),
    "homes": ("route/engine.go", "homeGain = 0.4", "homeGain = 0.0"),
    "recall": ("recall/recall.go", "if !ok || now.Sub(m.at) > keep {", "if true || !ok || now.Sub(m.at) > keep {"),
    "places in the store": ("instance/locations.go", "for clock.Sleep(ctx, i.locations.saveDelay(clock.Now())) {", "for false && clock.Sleep(ctx, i.locations.saveDelay(clock.Now())) {"),
    "views": ("exchange/exchange.go", "func (e *Exchange) take(v wire.View) {", "func (e *Exchange) take(v wire.View) {\n\tv = wire.View{}"),
    "zone trouble": ("route/engine.go", "zoneTroubleCost = 6", "zoneTroubleCost = 0"),
    "lossy ways": ("ingress/silence.go", "if !r.s.h.links.Stalled(zone, at) {", "if true || !r.s.h.links.Stalled(zone, at) {"),
    "hedging": ("ingress/plain.go", "if safe && pending > 0 && launch() {", "if false && safe && pending > 0 && launch() {"),
    "probes": ("ingress/job.go", "if !m.Health().BeginProbe() {", "if true || !m.Health().BeginProbe() {"),
    "learnt speeds": ("ingress/job.go", "return j.h.paces.Of(j.service()).Pace()", "return pace.Pace{}"),
    "speeds in choices": ("route/engine.go", "if slow == 0 {", "if true || slow == 0 {"),
    "refusal of hopeless streams": ("ingress/stream.go", "if s.fails == 0 && s.hopeless(m) {", "if false && s.fails == 0 && s.hopeless(m) {"),
    "ranks": ("ingress/stream.go", "func (s *stream) rank(m *registry.Member) Rank {", "func (s *stream) rank(m *registry.Member) Rank {\n\tif s != nil {\n\t\treturn RankUsual\n\t}"),
    "likely end of leaving instances": ("ingress/handler.go", "if h.Leaving() && s.likely()", "if false && h.Leaving() && s.likely()"),
    "late streams yield": ("ingress/stream.go", "return aim > 0 && expected", "return false && aim > 0 && expected"),
    "copies yield": ("ingress/stream.go", "const copyRoom = 0.8", "const copyRoom = 80"),
    "stale zones": ("ingress/job.go", "stale := j.h.targets.Stale(j.service(), zone, now)", "stale := 0 * j.h.targets.Stale(j.service(), zone, now)"),
}


def prepare(name, folder):
    copy = os.path.join(folder, re.sub(r"\W", "_", name))
    shutil.copytree(HERE, copy, ignore=shutil.ignore_patterns("journal", ".git", "target", "run", "bin"))
    subprocess.run("git init -q && git add -A && git -c user.name=x -c user.email=x commit -qm x", shell=True, cwd=copy, check=True)
    if CUTS[name]:
        path, old, new = CUTS[name]
        text = open(os.path.join(copy, path)).read()
        if text.count(old) != 1:
            raise SystemExit(f"{name}: {old!r} stands {text.count(old)} times in {path}")
        open(os.path.join(copy, path), "w").write(text.replace(old, new))
    return copy


def play(bench, copy, name, site, day, seed):
    out = subprocess.run([bench, "run", site, day, "--no-cpu", "--seed", seed, "--jobs", "1", "--why", f"ablation: without {name}"],
                         cwd=copy, capture_output=True, text=True)
    m = re.search(r"^worth (\S+) =", out.stdout, re.M)
    if not m:
        print("NOT PLAYED", name, site, day, seed, (out.stdout + out.stderr)[-300:])
    if "BROKEN" in out.stdout:
        print("BROKEN", name, site, day, seed)
    return float(m[1]) if m else math.nan


def main():
    p = argparse.ArgumentParser()
    p.add_argument("bench"); p.add_argument("sites", nargs="+")
    p.add_argument("--seeds", default="1,2,3"); p.add_argument("--only", default=""); p.add_argument("--folder", default=""); p.add_argument("--jobs", type=int, default=4)
    a = p.parse_args()
    folder = a.folder or tempfile.mkdtemp()
    os.makedirs(folder, exist_ok=True)
    names = ["product"] + [n for n in CUTS if n != "product" and (not a.only or n in a.only.split(","))]
    base = {}
    for name in names:
        copy = prepare(name, folder)
        subprocess.run([a.bench, "build"], cwd=copy, capture_output=True)
        row = []
        for site in a.sites:
            days = [d for d in re.findall(r'^name = "([\w-]+)"\nslot = "(?:trouble|scale)"', open(site).read(), re.M)]
            todo = [(d, s) for d in days for s in a.seeds.split(",")]
            with concurrent.futures.ThreadPoolExecutor(a.jobs) as ex:
                worth = list(ex.map(lambda t: play(a.bench, copy, name, site, *t), todo))
            base.setdefault(site, worth)
            diff = [w - b for w, b in zip(worth, base[site])]
            spread = statistics.stdev(diff) / math.sqrt(len(diff)) if name != "product" else 0
            row.append(f"{statistics.mean(worth):.3f} ({statistics.mean(diff):+.3f} ± {spread:.3f})")
        print("|", name, "|", " | ".join(row), "|", flush=True)


main()
