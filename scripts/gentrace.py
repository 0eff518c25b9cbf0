#!/usr/bin/env python3
"""Writes the recorded traces testdata/{rimac,tahrir}.trace.jsonl.

Deterministic (fixed seed): long generations, short calls, quotes and
charges (some repeated with the same idempotency key, as a caller retrying),
and faults of the stand-in engines.
"""
import json, random

def gen(name, orgs, models, engines, seconds, longs, shorts, onces, faults, path):
    rnd = random.Random(7)
    ev = []
    for i in range(longs):
        at = int(rnd.uniform(0, seconds * 300))
        ev.append({"atMs": at, "request": {"id": f"{name}-long-{i:03d}", "org": rnd.choice(orgs),
                   "model": rnd.choice(models), "kind": "long",
                   "promptTokens": rnd.randint(200, 2400), "maxTokens": rnd.randint(300, 900)}})
    for i in range(shorts):
        at = int(rnd.uniform(0, seconds * 1000))
        ev.append({"atMs": at, "request": {"id": f"{name}-short-{i:04d}", "org": rnd.choice(orgs),
                   "kind": "short", "op": rnd.choice(["status", "balance"])}})
    for i in range(onces):
        at = int(rnd.uniform(0, seconds * 1000))
        kind = rnd.choice(["quote", "charge"])
        key = f"{name}-{kind}-{i:03d}"
        org = rnd.choice(orgs)
        ev.append({"atMs": at, "request": {"id": f"{key}-a", "org": org, "kind": kind, "idempotencyKey": key}})
        if i % 4 == 0:  # the caller asks again with the same key
            ev.append({"atMs": at + rnd.randint(1, 400), "request": {"id": f"{key}-b", "org": org, "kind": kind, "idempotencyKey": key}})
    ev += faults
    ev.sort(key=lambda e: e["atMs"])
    with open(path, "w") as f:
        for e in ev:
            f.write(json.dumps(e, separators=(",", ":")) + "\n")

gen("rimac", ["minera-cerro-azul", "minera-huaral", "taller-ate", "taller-callao", "mecanica-lurin",
              "fundicion-ventanilla", "taller-chosica", "mantenimiento-pachacamac", "tornos-san-juan", "rimac-mostrador"],
    ["regrind-planner"], 20, 10, 40, 300, 40,
    [{"atMs": 2500, "fault": {"kind": "pauseEngine", "target": "callao-02", "forMs": 3000}},
     {"atMs": 3500, "fault": {"kind": "killEngine", "target": "lurin-03"}},
     {"atMs": 4500, "fault": {"kind": "pauseEngine", "target": "ate-05", "forMs": 2000}},
     {"atMs": 5000, "fault": {"kind": "partition", "target": "ate-06", "forMs": 1000}},
     {"atMs": 5500, "fault": {"kind": "pauseAgent", "target": "callao-04", "forMs": 1500}},
     {"atMs": 2000, "fault": {"kind": "storeDown", "forMs": 1500}},
     {"atMs": 3000, "fault": {"kind": "lostAck", "target": "once/", "forMs": 2}}],
    "testdata/rimac.trace.jsonl")
gen("tahrir", ["cabines-cote", "kiosques-oasis", "cabines-sahel", "kiosques-sousse", "kiosques-monastir",
               "kiosques-mahdia", "cabines-ksour", "kiosques-kairouan", "cabines-sfax", "tahrir-atelier"],
    ["repair-planner", "parts-summary"], 25, 10, 50, 400, 48,
    [{"atMs": 2500, "fault": {"kind": "pauseEngine", "target": "monastir-02", "forMs": 3000}},
     {"atMs": 3500, "fault": {"kind": "killEngine", "target": "mahdia-03"}},
     {"atMs": 4500, "fault": {"kind": "pauseEngine", "target": "sousse-sud-04", "forMs": 2000}},
     {"atMs": 5000, "fault": {"kind": "partition", "target": "monastir-05", "forMs": 1000}},
     {"atMs": 5500, "fault": {"kind": "pauseAgent", "target": "sousse-nord-06", "forMs": 1500}},
     {"atMs": 2000, "fault": {"kind": "storeDown", "forMs": 1500}},
     {"atMs": 3000, "fault": {"kind": "lostAck", "target": "once/", "forMs": 2}}],
    "testdata/tahrir.trace.jsonl")
