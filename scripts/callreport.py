#!/usr/bin/env python3
"""Prints what became of the streams of a run, from the logs of its instances, as tables.

    scripts/callreport.py LOG [REPORT.json]

LOG has the JSON lines of all instances, with or without "SECONDS PROCESS" before each; other
lines are ignored. REPORT.json is a report of `fleetbench run ... --report`, for the table of
its classes. A call is one request id: a caller that comes back counts again.

  rejected    answered with 503, or with 500 as quarantined; it had certainly not run
  failed      ended after it ran, or may have run
  left        the caller disconnected or stopped reading
  no end      the log has no end of the call: lines were dropped, or the log ended before
  waited      calls that an engine was found for after a wait. The wait is the sum of `waited`
              of "admit: room for the stream"; calls that were rejected while they waited have none
  first event from the arrival of the call, only of calls whose first event came from a later
              attempt than the first ("resume: stream continues"): other lines don't have the time
  sends       attempts a call that was sent, without refused connections

Sizes of prompts are thirds of the calls whose prompt is known: from "route: stream sent" of the
call, or of another one with the same fingerprint. Tokens prefilled again are the prompts of later
attempts of a call, an upper bound: a prompt may be cached, or the attempt before may have ended
during its prefill. Preemptions, and prompts of callers that come back, are not in it.
"""
import argparse
import collections
import datetime
import json
import statistics

SENT, EARLY, CONTINUES = "route: stream sent", "resume: attempt ended early", "resume: stream continues"
RELEASED, SHED = "admit: room for the stream", "admit: no room for the stream"
ANSWERED, FAILED, QUARANTINED = "ingress: answered", "ingress: call failed", "ingress: quarantined request not run"
MESSAGES = {SENT, EARLY, CONTINUES, RELEASED, SHED, ANSWERED, FAILED, QUARANTINED}
NOT_SENT, BROKEN = "not sent", "connection broken"
# Texts of the errors of attempts, the first that is found counts.
ERRORS = [("upstream: request not sent", NOT_SENT), ("target silent", "target silent"), ("target lost", "target lost"),
          ("boot has ended", "target restarted"), ("EOF", BROKEN), ("connection reset", BROKEN), ("response incomplete", BROKEN)]
LEFT = {"caller disconnected", "caller stopped reading"}
COLUMNS = ["asked", "served", "rejected", "failed", "left", "no end", "waited", "wait mean, ms", "p95",
           "first event mean, ms", "p95", "calls", "sends", "prefilled again, tokens"]
CLASS_COLUMNS = {"asked": "n", "in time": "in_aim", "late": "late", "rejected": "refused", "failed": "failed"}


class Call:
    """The lines about one request id, in the order of the log."""

    def __init__(self):
        self.route = self.org = self.fingerprint = self.end = self.prompt = self.continued = None
        self.is_stream, self.waited, self.attempts = False, [], []  # attempts: [sent from a replica, why it ended early]

    def add(self, line):
        message = line["message"]
        self.is_stream |= message in (SENT, RELEASED, SHED) or line.get("kind") == "stream"
        self.route, self.org = line.get("route", self.route), line.get("org", self.org)
        self.fingerprint = line.get("fingerprint", self.fingerprint)
        if message == SENT:
            self.prompt = line["prompt"]
            self.attempts.append([line["fromCopy"], None])
        elif message == EARLY and self.attempts:
            self.attempts[-1][1] = next((reason for text, reason in ERRORS if text in line.get("error", "")), "other")
        elif message == RELEASED:
            self.waited.append(line["waited"])
        elif message == CONTINUES and line["event"] == 1:
            self.continued = line["time"]
        elif message in (ANSWERED, FAILED, QUARANTINED):
            self.end = line

    def time_to_first_event(self):
        if self.continued is None or self.end is None:
            return None
        return self.end["after"] - (seconds(self.end["time"]) - seconds(self.continued)) * 1000

    def outcome(self):
        if self.end is None:
            return "no end"
        if self.end["message"] == ANSWERED:
            return "served"
        if self.end.get("cause") in LEFT:
            return "left"
        return "rejected" if self.end["status"] in (500, 503) and not self.end.get("mayHaveRun") else "failed"

    def prefilled_again(self):
        """Yields the reason for each attempt that had to prefill the prompt once more."""
        lost = None
        for from_replica, reason in self.attempts:
            if reason == NOT_SENT:
                continue
            if lost and not from_replica:
                yield lost
            lost = reason


def seconds(time):
    return datetime.datetime.fromisoformat(time.replace("Z", "+00:00")).timestamp()


def read_calls(path):
    calls = collections.defaultdict(Call)
    with open(path, errors="replace") as log:
        for text in log:
            try:
                line = json.loads(text[max(text.find("{"), 0):])
            except ValueError:
                continue
            if isinstance(line, dict) and line.get("message") in MESSAGES and "request" in line:
                calls[line["request"]].add(line)
    return [c for c in calls.values() if c.is_stream]


def size_names(calls):
    """Returns a function that names the third of the prompts that a call is in."""
    prompts = {c.fingerprint: c.prompt for c in calls if c.prompt is not None}
    known = sorted(prompts[c.fingerprint] for c in calls if c.fingerprint in prompts) or [0]
    small, large = known[len(known) // 3], known[2 * len(known) // 3]

    def name(c):
        prompt = prompts.get(c.fingerprint)
        if prompt is None:
            return "unknown"
        if prompt >= large:
            return f"3: {large:,} and more"
        return f"1: below {small:,}" if prompt < small else f"2: below {large:,}"
    return name


def mean_and_p95(values):
    values = sorted(values)
    if not values:
        return ["", ""]
    return [f"{statistics.fmean(values):,.0f}", f"{values[(len(values) * 95 + 99) // 100 - 1]:,.0f}"]


def row_of(calls):
    outcomes = collections.Counter(c.outcome() for c in calls)
    waits = [sum(c.waited) for c in calls if c.waited]
    first_events = [t for t in (c.time_to_first_event() for c in calls) if t is not None]
    sends = [c.end["sends"] for c in calls if c.end and c.end["sends"]]
    again = sum(c.prompt for c in calls for _ in c.prefilled_again())
    return [len(calls), *(outcomes[name] for name in COLUMNS[1:6]), len(waits), *mean_and_p95(waits),
            *mean_and_p95(first_events), len(first_events), f"{statistics.fmean(sends):.2f}" if sends else "", f"{again:,}"]


def print_table(title, columns, rows):
    print(f"| {title} | " + " | ".join(columns) + " |\n|---|" + "---|" * len(columns))
    for name, cells in rows:
        print(f"| {name} | " + " | ".join(str(cell) for cell in cells) + " |")
    print()


def group(calls, key):
    groups = collections.defaultdict(list)
    for c in calls:
        groups[key(c) or "none"].append(c)
    return sorted(groups.items())


def causes(outcome):
    return lambda c: [(c.end.get("cause", "quarantined"), 1)] if c.outcome() == outcome else []


def print_calls(calls):
    size = size_names(calls)
    for title, key in (("route", lambda c: c.route), ("organisation", lambda c: c.org), ("prompt, tokens", size)):
        groups = group(calls, key)
        print_table(title, COLUMNS, [(name, row_of(of)) for name, of in [*groups, ("all", calls)]])
        print_sums(f"rejected, by {title}", groups, causes("rejected"))
        print_sums(f"failed, by {title}", groups, causes("failed"))
        print_sums(f"tokens prefilled again, by {title}", groups, lambda c: [(reason, c.prompt) for reason in c.prefilled_again()])


def print_sums(title, groups, amounts):
    """Prints the sums of the amounts of each group's calls, with a column for each reason."""
    sums = {name: collections.Counter() for name, _ in groups}
    for name, calls in groups:
        for c in calls:
            for reason, amount in amounts(c):
                sums[name][reason] += amount
    if columns := sorted({reason for counter in sums.values() for reason in counter}):
        print_table(title, columns, [(name, [f"{counter[c]:,}" for c in columns]) for name, counter in sums.items()])


def print_classes(report):
    print_table("class", CLASS_COLUMNS, [(c["name"], [f"{c[key]:,}" for key in CLASS_COLUMNS.values()])
                                         for c in report.get("classes") or []])


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("log", metavar="LOG")
    parser.add_argument("report", metavar="REPORT.json", nargs="?", type=argparse.FileType())
    args = parser.parse_args()
    print_calls(read_calls(args.log))
    if args.report:
        print_classes(json.load(args.report))


if __name__ == "__main__":
    main()
