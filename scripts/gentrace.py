#!/usr/bin/env python3
"""Generates the traces testdata/{rimac,tahrir}.trace.jsonl from a fixed seed.

A trace holds long generations, short calls, quotes and charges (some retried by the
caller with the same idempotency key), and faults of the stand-ins.
"""
import json, random

def write_trace(name, orgs, models, seconds, long_count, short_count, once_count, faults, path):
    rng = random.Random(7)
    events = []
    for i in range(long_count):
        at = int(rng.uniform(0, seconds * 300))
        events.append({"atMs": at, "request": {"id": f"{name}-long-{i:03d}", "org": rng.choice(orgs),
                       "model": rng.choice(models), "kind": "long",
                       "promptTokens": rng.randint(200, 2400), "maxTokens": rng.randint(300, 900)}})
    for i in range(short_count):
        at = int(rng.uniform(0, seconds * 1000))
        events.append({"atMs": at, "request": {"id": f"{name}-short-{i:04d}", "org": rng.choice(orgs),
                       "kind": "short", "op": rng.choice(["status", "balance"])}})
    for i in range(once_count):
        at = int(rng.uniform(0, seconds * 1000))
        kind = rng.choice(["quote", "charge"])
        key = f"{name}-{kind}-{i:03d}"
        org = rng.choice(orgs)
        events.append({"atMs": at, "request": {"id": f"{key}-a", "org": org, "kind": kind, "idempotencyKey": key}})
        if i % 4 == 0:  # the caller retries
            events.append({"atMs": at + rng.randint(1, 400), "request": {"id": f"{key}-b", "org": org, "kind": kind, "idempotencyKey": key}})
    events += faults
    events.sort(key=lambda event: event["atMs"])
    with open(path, "w") as f:
        for event in events:
            f.write(json.dumps(event, separators=(",", ":")) + "\n")

write_trace("rimac", ["minera-cerro-azul", "minera-huaral", "taller-ate", "taller-callao", "mecanica-lurin",
              "fundicion-ventanilla", "taller-chosica", "mantenimiento-pachacamac", "tornos-san-juan", "rimac-mostrador"],
    ["regrind-planner"], 10, 40, 300, 40,
    [{"atMs": 2500, "fault": {"kind": "pauseEngine", "target": "callao-02", "forMs": 3000}},
     {"atMs": 3500, "fault": {"kind": "killEngine", "target": "lurin-03"}},
     {"atMs": 4500, "fault": {"kind": "pauseEngine", "target": "ate-05", "forMs": 2000}},
     {"atMs": 5000, "fault": {"kind": "partition", "target": "ate-06", "forMs": 1000}},
     {"atMs": 5500, "fault": {"kind": "pauseAgent", "target": "callao-04", "forMs": 1500}},
     {"atMs": 2000, "fault": {"kind": "storeDown", "forMs": 1500}},
     {"atMs": 3000, "fault": {"kind": "lostAck", "target": "once/", "forMs": 2}}],
    "testdata/rimac.trace.jsonl")
write_trace("tahrir", ["cabines-cote", "kiosques-oasis", "cabines-sahel", "kiosques-sousse", "kiosques-monastir",
               "kiosques-mahdia", "cabines-ksour", "kiosques-kairouan", "cabines-sfax", "tahrir-atelier"],
    ["repair-planner", "parts-summary"], 10, 50, 400, 48,
    [{"atMs": 2500, "fault": {"kind": "pauseEngine", "target": "monastir-02", "forMs": 3000}},
     {"atMs": 3500, "fault": {"kind": "killEngine", "target": "mahdia-03"}},
     {"atMs": 4500, "fault": {"kind": "pauseEngine", "target": "sousse-sud-04", "forMs": 2000}},
     {"atMs": 5000, "fault": {"kind": "partition", "target": "monastir-05", "forMs": 1000}},
     {"atMs": 5500, "fault": {"kind": "pauseAgent", "target": "sousse-nord-06", "forMs": 1500}},
     {"atMs": 2000, "fault": {"kind": "storeDown", "forMs": 1500}},
     {"atMs": 3000, "fault": {"kind": "lostAck", "target": "once/", "forMs": 2}}],
    "testdata/tahrir.trace.jsonl")
