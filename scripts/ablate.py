#!/usr/bin/env python3
"""Measures the worth of each mechanism: runs the days of a site without it.

  scripts/ablate.py BENCH SITE... [--seeds 1,2,3] [--only NAME,...] [--folder DIR]

Each mechanism is disabled by an edit of one line in a copy of the tree, since the
product has no switches for mechanisms. The bench runs the trouble and scale days
of the sites with the copy, without processor cost. Prints the mean worth by
variant and site, and the mean difference from the product on the same days and
seeds with its standard error. The bench writes its journal entries into the
copies' journal/.
"""
import argparse, concurrent.futures, math, os, re, shutil, statistics, subprocess, tempfile

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
# variant: file, text, replacement
EDITS = {
    "product": None,
    "replicas": ("ingress/replica.go", "e == nil || !e.CanReplicate ||", "e == nil || e != nil ||"),
    "preferred targets": ("route/engine.go", "preferredBonus = 0.4", "preferredBonus = 0.0"),
    "cache locations": ("cachelocation/table.go", "if !ok || now.Sub(known.recordedAt) > maxAge {", "if true || !ok || now.Sub(known.recordedAt) > maxAge {"),
    "cache locations in the store": ("instance/locations.go", "for clock.Sleep(ctx, i.locations.saveDelay(clock.Now())) {", "for false && clock.Sleep(ctx, i.locations.saveDelay(clock.Now())) {"),
    "load reports": ("exchange/exchange.go", "func (e *Exchange) apply(v wire.View) {", "func (e *Exchange) apply(v wire.View) {\n\tv = wire.View{}"),
    "zone outages": ("route/engine.go", "zoneOutageCost = 6", "zoneOutageCost = 0"),
    "lossy links": ("ingress/silence.go", "if !a.s.h.links.Stalled(zone, readAt) {", "if true || !a.s.h.links.Stalled(zone, readAt) {"),
    "hedging": ("ingress/plain.go", "if safe && pending > 0 && startAttempt() {", "if false && safe && pending > 0 && startAttempt() {"),
    "probes": ("ingress/active_call.go", "if !m.Health().BeginCheck() {", "if true || !m.Health().BeginCheck() {"),
    "measured pace": ("ingress/active_call.go", "return c.h.paces.Of(c.service()).Pace()", "return pace.Pace{}"),
    "pace in choices": ("route/engine.go", "if slowdown == 0 {", "if true || slowdown == 0 {"),
    "rejection of streams that miss their deadline": ("ingress/stream.go", "if s.failedAttempts == 0 && s.missesDeadline(m) {", "if false && s.failedAttempts == 0 && s.missesDeadline(m) {"),
    "ranks": ("ingress/admission.go", "func (s *stream) rank(m *registry.Member) Rank {", "func (s *stream) rank(m *registry.Member) Rank {\n\tif s != nil {\n\t\treturn RankNormal\n\t}"),
    "expected duration at draining instances": ("ingress/handler.go", "if h.Draining() && stream.expectedDuration()", "if false && h.Draining() && stream.expectedDuration()"),
    "late streams yield": ("ingress/admission.go", 's.call.ResumeOffset != "" || s.firstEventLate(', 's.call.ResumeOffset != "" || false && s.firstEventLate('),
    "replicas yield": ("ingress/replica.go", "const maxReplicaMemoryShare = 0.8", "const maxReplicaMemoryShare = 80"),
    "stale registrations": ("ingress/zone_outage.go", "lost := z.failed + c.h.targets.StaleRegistrations(c.service(), zone, now)", "lost := z.failed + 0*c.h.targets.StaleRegistrations(c.service(), zone, now)"),
}


def copy_tree(variant, folder):
    """Returns a copy of the tree, as a Git repository, with the variant's edit."""
    copy = os.path.join(folder, re.sub(r"\W", "_", variant))
    shutil.copytree(ROOT, copy, ignore=shutil.ignore_patterns("journal", ".git", "target", "run", "bin"))
    subprocess.run("git init -q && git add -A && git -c user.name=x -c user.email=x commit -qm x", shell=True, cwd=copy, check=True)
    if EDITS[variant]:
        path, old, new = EDITS[variant]
        text = open(os.path.join(copy, path)).read()
        if text.count(old) != 1:
            raise SystemExit(f"{variant}: expected one match of {old!r} in {path}, found {text.count(old)}")
        open(os.path.join(copy, path), "w").write(text.replace(old, new))
    return copy


def run_day(bench, copy, variant, site, day, seed):
    """Runs a day and returns its worth; NaN if the bench printed none."""
    out = subprocess.run([bench, "run", site, day, "--no-cpu", "--seed", seed, "--jobs", "1", "--why", f"ablation: without {variant}"],
                         cwd=copy, capture_output=True, text=True)
    worth = re.search(r"^worth (\S+) =", out.stdout, re.M)
    if not worth:
        print("NOT PLAYED", variant, site, day, seed, (out.stdout + out.stderr)[-300:])
    if "BROKEN" in out.stdout:
        print("BROKEN", variant, site, day, seed)
    return float(worth[1]) if worth else math.nan


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("bench"); parser.add_argument("sites", nargs="+")
    parser.add_argument("--seeds", default="1,2,3"); parser.add_argument("--only", default=""); parser.add_argument("--folder", default=""); parser.add_argument("--jobs", type=int, default=4)
    args = parser.parse_args()
    folder = args.folder or tempfile.mkdtemp()
    os.makedirs(folder, exist_ok=True)
    variants = ["product"] + [v for v in EDITS if v != "product" and (not args.only or v in args.only.split(","))]
    baseline = {}  # worth of the product, by site
    for variant in variants:
        copy = copy_tree(variant, folder)
        subprocess.run([args.bench, "build"], cwd=copy, capture_output=True)
        cells = []
        for site in args.sites:
            days = [d for d in re.findall(r'^name = "([\w-]+)"\nslot = "(?:trouble|scale)"', open(site).read(), re.M)]
            runs = [(d, s) for d in days for s in args.seeds.split(",")]
            with concurrent.futures.ThreadPoolExecutor(args.jobs) as executor:
                worth = list(executor.map(lambda run: run_day(args.bench, copy, variant, site, *run), runs))
            baseline.setdefault(site, worth)
            differences = [w - b for w, b in zip(worth, baseline[site])]
            error = statistics.stdev(differences) / math.sqrt(len(differences)) if variant != "product" else 0
            cells.append(f"{statistics.mean(worth):.3f} ({statistics.mean(differences):+.3f} ± {error:.3f})")
        print("|", variant, "|", " | ".join(cells), "|", flush=True)


main()
