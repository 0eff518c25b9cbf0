#!/usr/bin/env python3
"""Plays every kind of trouble on a site: alone and twice, then in random pairs.

  scripts/troubles.py BENCH SITE [--pairs N] [--seed S] [--only TEXT] [--keep DIR]

BENCH is the users' bench program and SITE a site file. Each day has a calm
start, its troubles at 4 s and 17 s, and a closing fault on pairs. Prints a
line for each day with a broken rule, and its file under --keep.
"""
import argparse, concurrent.futures, os, random, re, subprocess, tempfile

PLAN = {"config_change", "big_config", "revoke", "release", "scale_in", "scale_out", "roll_term", "add_nodes", "hup", "config_storm"}

# kind, variants of how, other fields
KINDS = [
    ("burst", [""], "x = 3.0, for_s = 4.0"),
    ("hot_key", [""], "share = 0.5, for_s = 6.0"),
    ("retry_abuse", [""], "share = 0.4, x = 4.0, for_s = 6.0"),
    ("give_up", ["", "once", "prompt"], "share = 0.4, for_s = 6.0, x = 400.0"),
    ("srv_crash", ["", "dark", "gone", "dark gone", "domain"], "share = 0.3, for_s = 4.0"),
    ("srv_slow", [""], "share = 0.3, x = 6.0, for_s = 6.0"),
    ("srv_grey", ["errors", "shed", "busy", "hang", "reset", "mute", "slow", "errors one_zone", "hang one_zone", "mute one_zone"], "share = 0.3, x = 0.5, for_s = 6.0"),
    ("srv_cut", ["", "fronts", "some", "one_way", "reset", "reborn", "some lossy"], "share = 0.3, for_s = 5.0"),
    ("release", [""], "share = 0.6, x = 2.0, gap_s = 0.7"),
    ("scale_in", ["", "spot", "reclaim"], "share = 0.25"),
    ("scale_out", [""], "share = 0.4, gap_s = 1.0"),
    ("replace_with_reuse", ["", "drain", "dark", "side"], "share = 0.3"),
    ("answer_lost", ["", "reset"], "share = 0.6, x = 0.3, for_s = 6.0"),
    ("garble", ["", "extra", "extra late", "unframed", "early", "unframed extra"], "share = 0.6, x = 0.1, for_s = 6.0"),
    ("node_kill", ["", "power"], "share = 0.3, for_s = 3.0"),
    ("node_kill", ["leader race", "leader meet", "reader", "meet drain", "hard"], 'on = "core", count = 1, for_s = 3.0'),
    ("node_freeze", ["", "renewed", "leader", "meet"], "share = 0.3, for_s = 4.0"),
    ("node_slow", [""], "share = 0.4, x = 6.0, for_s = 6.0"),
    ("roll_term", ["", "busy", "remove", "leader", "drain"], "share = 0.8, gap_s = 1.2"),
    ("herd_kill", ["", "power", "off"], "share = 0.7, for_s = 2.0"),
    ("herd_kill", ["", "off"], 'on = "core", for_s = 2.0'),
    ("add_nodes", [""], "share = 1.0"),
    ("after_ack_kill", ["", "kill", "timed", "kill timed"], "for_s = 3.0"),
    ("clock_step", ["", "back", "ahead", "leader"], "share = 0.5, x = 5000.0, for_s = 5.0"),
    ("reset_conns", [""], "share = 0.6, x = 0.7"),
    ("core_cut", ["", "one_way", "reset", "refuse", "leader race", "all", "near", "meet"], "count = 2, for_s = 6.0"),
    ("node_cut", ["", "all", "servers", "servers reborn", "reset", "meet", "revoke"], "share = 0.3, for_s = 6.0"),
    ("lossy", [""], "x = 0.05, for_s = 6.0"),
    ("platform_down", ["silent", "busy", "reset", "busy lapse", "silent lapse", "reset lapse"], "for_s = 6.0"),
    ("platform_down", ["nodes busy", "nodes many", "nodes reset", "nodes", "nodes many revoke", "nodes busy revoke meet", "nodes revoke drain", "nodes leader"], "share = 0.4, for_s = 8.0"),
    ("platform_slow", [""], "x = 90.0, for_s = 6.0"),
    ("platform_lost", ["", "late"], "x = 0.5, for_s = 6.0"),
    ("platform_compact", ["", "drain"], "x = 4.0, for_s = 8.0"),
    ("config_change", ["route", "weights", "timeout", "tenant", "quota", "topup", "idle"], ""),
    ("big_config", [""], "count = 400"),
    ("revoke", ["", "last"], "count = 3, gap_s = 0.5"),
    ("config_storm", [""], "count = 10, gap_s = 0.2"),
    ("hup", [""], "share = 1.0, gap_s = 2.0"),
]
CLOSINGS = ["", 'closing = { kind = "power_off_all", down_s = 1.0 }', 'closing = { kind = "kill_all", down_s = 1.0 }',
            'closing = { kind = "wipe_after_ack", down_s = 1.0 }', 'closing = { kind = "kill_all", down_s = 0.7, how = "timed" }']


def entry(kind, how, fields, at):
    h = f', how = "{how}"' if how else ""
    f = f", {fields}" if fields else ""
    return f'  {{ at = {at}, kind = "{kind}"{h}{f} }},'


def day(name, seed, entries, closing=""):
    """entries: (kind, how, fields, at)"""
    plan = [entry(*e) for e in entries if e[0] in PLAN]
    faults = [entry(*e) for e in entries if e[0] not in PLAN]
    return "\n".join([f'name = "{name}"', f"seed = {seed}", closing, "plan = [", *plan, "]", "faults = [", *faults, "]", ""])


def days(pairs, rng):
    flat = [(k, h, f) for k, hs, f in KINDS for h in hs]
    for k, h, f in flat:
        yield f"{k} {h}".strip().replace(" ", "-"), [(k, h, f, 4.0), (k, h, f, 17.0)], ""
    for n in range(pairs):
        a, b, c = rng.choice(flat), rng.choice(flat), rng.choice(flat)
        at = round(rng.uniform(2, 24), 1)
        name = "+".join(f"{x[0]} {x[1]}".strip().replace(" ", "-") for x in (a, b, c))
        yield name, [(*a, at), (*b, round(at + rng.uniform(0, 4), 1)), (*c, round(rng.uniform(1, 28), 1))], rng.choice(CLOSINGS)


def play(bench, site, folder, name, seed, entries, closing):
    path = os.path.join(folder, re.sub(r"[^A-Za-z0-9+_-]", "_", name)[:120] + f"-{seed}.toml")
    with open(path, "w") as f:
        f.write(day(name[:60], seed, entries, closing))
    out = subprocess.run([bench, "run", site, path, "--jobs", "1"], capture_output=True, text=True)
    text = out.stdout + out.stderr
    lines = text.splitlines()
    for i, line in enumerate(lines):
        if line.startswith("day ") and i + 1 < len(lines):
            return name, path, lines[i + 1][23:].strip(), text
    return name, path, "NOT PLAYED " + (lines[-1] if lines else ""), text


def main():
    p = argparse.ArgumentParser()
    p.add_argument("bench"); p.add_argument("site")
    p.add_argument("--pairs", type=int, default=0); p.add_argument("--seed", type=int, default=1)
    p.add_argument("--only", default=""); p.add_argument("--keep", default=""); p.add_argument("--jobs", type=int, default=4)
    p.add_argument("-v", action="store_true")
    a = p.parse_args()
    folder = a.keep or tempfile.mkdtemp()
    os.makedirs(folder, exist_ok=True)
    rng = random.Random(a.seed)
    todo = [d for d in days(a.pairs, rng) if a.only in d[0]]
    if a.pairs:
        todo = [d for d in todo if "+" in d[0]]
    bad = 0
    with concurrent.futures.ThreadPoolExecutor(a.jobs) as ex:
        futs = [ex.submit(play, a.bench, a.site, folder, n, a.seed + i, e, c) for i, (n, e, c) in enumerate(todo)]
        for f in futs:
            name, path, line, text = f.result()
            wrong = "BROKEN" in line or "FAULT" in line.upper() or "NOT PLAYED" in line
            bad += wrong
            if wrong or a.v:
                print(name, "|", line, "|", path, flush=True)
    print(f"{len(todo)} days, {bad} wrong")


main()
