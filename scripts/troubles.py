#!/usr/bin/env python3
"""Runs days with every kind of fault at a site, or with random combinations.

  scripts/troubles.py BENCH SITE [--pairs N] [--seed S] [--only TEXT] [--keep DIR]

BENCH is the users' bench program and SITE a site file. Without --pairs, each day
injects one kind of fault at 4 s and at 17 s. With --pairs N, each of N days injects
three faults at random times and may end with a closing fault. Prints a line for each
day that broke a rule, with its file. --keep names the folder of the files.
"""
import argparse, concurrent.futures, os, random, re, subprocess, tempfile

# Kinds that stand in a day's plan; all others are faults.
PLAN_KINDS = {"config_change", "big_config", "revoke", "release", "scale_in", "scale_out", "roll_term", "add_nodes", "hup", "config_storm"}

# kind, values of its field "how", other fields
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


def event_line(kind, how, fields, at):
    how_field = f', how = "{how}"' if how else ""
    other_fields = f", {fields}" if fields else ""
    return f'  {{ at = {at}, kind = "{kind}"{how_field}{other_fields} }},'


def day_file(name, seed, events, closing=""):
    """Returns the text of a day's file; events are tuples of kind, how, fields, at."""
    plan = [event_line(*e) for e in events if e[0] in PLAN_KINDS]
    faults = [event_line(*e) for e in events if e[0] not in PLAN_KINDS]
    return "\n".join([f'name = "{name}"', f"seed = {seed}", closing, "plan = [", *plan, "]", "faults = [", *faults, "]", ""])


def event_name(kind, how):
    return f"{kind} {how}".strip().replace(" ", "-")


def days(pairs, rng):
    """Yields the name, events and closing fault of each day."""
    variants = [(kind, how, fields) for kind, hows, fields in KINDS for how in hows]
    for kind, how, fields in variants:
        yield event_name(kind, how), [(kind, how, fields, 4.0), (kind, how, fields, 17.0)], ""
    for _ in range(pairs):
        a, b, c = rng.choice(variants), rng.choice(variants), rng.choice(variants)
        at = round(rng.uniform(2, 24), 1)
        name = "+".join(event_name(kind, how) for kind, how, _ in (a, b, c))
        yield name, [(*a, at), (*b, round(at + rng.uniform(0, 4), 1)), (*c, round(rng.uniform(1, 28), 1))], rng.choice(CLOSINGS)


def run_day(bench, site, folder, name, seed, events, closing):
    """Runs a day; returns its name, file, result line and the bench's output."""
    path = os.path.join(folder, re.sub(r"[^A-Za-z0-9+_-]", "_", name)[:120] + f"-{seed}.toml")
    with open(path, "w") as f:
        f.write(day_file(name[:60], seed, events, closing))
    out = subprocess.run([bench, "run", site, path, "--jobs", "1"], capture_output=True, text=True)
    text = out.stdout + out.stderr
    lines = text.splitlines()
    for i, line in enumerate(lines):
        if line.startswith("day ") and i + 1 < len(lines):
            return name, path, lines[i + 1][23:].strip(), text
    return name, path, "NOT PLAYED " + (lines[-1] if lines else ""), text


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("bench"); parser.add_argument("site")
    parser.add_argument("--pairs", type=int, default=0); parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", default=""); parser.add_argument("--keep", default=""); parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("-v", action="store_true")
    args = parser.parse_args()
    folder = args.keep or tempfile.mkdtemp()
    os.makedirs(folder, exist_ok=True)
    rng = random.Random(args.seed)
    selected = [d for d in days(args.pairs, rng) if args.only in d[0]]
    if args.pairs:
        selected = [d for d in selected if "+" in d[0]]
    failures = 0
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as executor:
        futures = [executor.submit(run_day, args.bench, args.site, folder, name, args.seed + i, events, closing)
                   for i, (name, events, closing) in enumerate(selected)]
        for future in futures:
            name, path, result, _ = future.result()
            failed = "BROKEN" in result or "FAULT" in result.upper() or "NOT PLAYED" in result
            failures += failed
            if failed or args.v:
                print(name, "|", result, "|", path, flush=True)
    print(f"{len(selected)} days, {failures} wrong")


main()
