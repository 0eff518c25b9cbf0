#!/usr/bin/env python3
"""Prints what a played day says about the figures of docs/CAPACITY.md, as a table.

    scripts/report.py REPORT...     reports of `fleetbench run ... --report REPORT`

A column for each report: worth and its parts, calls and bytes of the store, the load of
the middle and the busiest entry instance, and the times until changes are in force.
"""
import json
import sys

LOADS = ["processor, %", "memory, MB", "kB a second", "wake-ups a second",
         "connections", "new connections a second"]
PRICES = {"cloud calls": "calls to the store", "GB at the platform's store": "GB at the store",
          "machine-seconds": "machine-seconds", "worth refused again": "worth rejected again"}


def rows_of(report):
    rows = {"worth": f"{report['G']:.3f}"}
    for name, _, value in report["parts"]:
        rows[name] = f"{value:.3f}"
    rows["all prices"] = f"{sum(p[2] for p in report['prices']):.3f}"
    for name, amount, price in report["prices"]:
        if name in PRICES:
            rows[PRICES[name]] = f"{amount:g} ({price:.3f})"
    rows["rules broken"] = ", ".join(report["breaks"]) or "none"
    for role, load in (report.get("load") or {}).items():
        for name, (middle, busiest) in zip(LOADS, load["of"]):
            rows[f"{role}: {name}, middle / busiest"] = f"{middle:.1f} / {busiest:.1f}"
    for name, times in (report.get("times") or {}).items():
        if times:
            rows[f"{name}, ms"] = " / ".join(f"{t:g}" for t in times)
    return rows


def main(paths):
    columns = []
    for path in paths:
        with open(path) as f:
            columns.append(rows_of(json.load(f)))
    names = list(dict.fromkeys(name for column in columns for name in column))
    print("| |" + "".join(f" {path.rsplit('/', 1)[-1].removesuffix('.report')} |" for path in paths))
    print("|---|" + "---|" * len(paths))
    for name in names:
        print(f"| {name} |" + "".join(f" {column.get(name, '')} |" for column in columns))


if __name__ == "__main__":
    main(sys.argv[1:])
