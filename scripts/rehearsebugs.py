#!/usr/bin/env python3
"""Checks that rehearsals detect bugs: scripts/rehearsebugs.py [SEEDS [NAME...]]

Writes each bug, or each of those named, into a copy of the tree, builds the copy and
rehearses the bound that the bug breaks with SEEDS plans (default 2000). Prints a line
for each bug, and exits with 1 if one was not detected.
"""
import re, shutil, subprocess, sys, tempfile

import soakbugs

# name: bound, and file, text, replacement of each change
BUGS = {
    "each instance takes all extra retries": ("retries", "budget/budget.go", "float64(b.counts.add(n, ", "float64(b.counts.add(min(n, 1), "),
    "lent retries are not counted": ("retries", "budget/loan.go", "	w.retries[w.newest%buckets] += n", "	_ = n"),
    "extra retries while the instances are unknown": ("retries", "budget/budget.go", "	if n == 0 {\n		return 0", "	if n == 0 {\n		return b.limit.Extra"),
    "no margin for instances that come and go": ("retries", "budget/budget.go", "	extraMargin = 0.5", "	extraMargin = 0.9"),
    "the whole part at once after a start": ("retries", "budget/budget.go", "age < b.limit.Window {", "age < 0 {"),
    "each instance takes all permits": ("rateLimit", "ratelimit/group.go", "return r.owner(mix(key+uint64(permit))) == g.Self", "return r.owner(mix(key+uint64(permit))) != \"\""),
    "a permit is taken twice": ("rateLimit", "ratelimit/group.go", "		l.permits.take(n)\n	}\n	return ok", "		_ = n\n	}\n	return ok"),
    "a list that still grows is taken for whole": ("rateLimit", "ratelimit/group.go", " || !g.Growth.IsWhole(len(m.Others), now)", ""),
    "lent permits are not counted": ("rateLimit", "ratelimit/group.go", "		l.permits.take(permit)\n		lent++", "		_ = permit\n		lent++"),
    "crashes count for each request only": ("quarantine", "poison/tracker.go", "	for _, p := range r.Parts {\n		c.Fingerprint, c.Part = p.Fingerprint, p.ID", "	for _, p := range r.Parts[:0] {\n		c.Fingerprint, c.Part = p.Fingerprint, p.ID"),
    "sound runs clear nothing": ("quarantine", "poison/sound.go", "		if s == nil {\n			continue\n		}\n", "		if s != nil || s == nil {\n			continue\n		}\n",
        "poison/tracker.go", "	c.SoundBefore = c.SoundBefore || soundAt != 0 || c.RecentSuccesses > 0", "	c.SoundBefore = false", "poison/tracker.go", "	if soundAt > at {", "	if false && soundAt > at {"),
    "peers' reports are not read": ("quarantine", "poison/tracker.go", "		if t.addCrash(c, source, now) {", "		if source == SourceOwn && t.addCrash(c, source, now) {"),
    "probes are due again at once": ("quarantine", "poison/probe.go", "	return max(0, s.updatedAt.Add(delay).Sub(now))", "	return 0 * max(0, s.updatedAt.Add(delay).Sub(now))", "poison/probe.go", "	maxPartProbes        = 2", "	maxPartProbes        = 1 << 20"),
    "peers' usage is not counted": ("shares", "fairshare/fairshare.go", "		if u.Tokens > 0 {\n", "		if u.Tokens < 0 {\n"),
    "a verdict ends with its order": ("exposure", "rollout/placement.go", "	case p.versions.IsRejected(version):", "	case p.versions.IsRejected(version) && p.state == None:"),
    "an instance that starts learns of no rejected version": ("exposure", "rollout/versions.go", "	for _, j := range st.Rejected {", "	for _, j := range st.Rejected[:0] {"),
    "the version of a replaced order stays": ("exposure", "rollout/versions.go", "	if st.State == Completed {\n		return", "	if st.State != RolledBack {\n		return"),
    "the version in service is rejected": ("exposure", "rollout/versions.go", "slices.Contains(s.inService, j.Version) || ", ""),
    "a bad version is tried again and again": ("exposure", "rollout/versions.go", "Bad >= maxBadBefore", "Bad >= 1<<20"),
    "large organisations take their turn at once": ("shares", "fairshare/share.go", "return float64(tokens) >= yieldingShare*float64(s.largest)", "return float64(tokens) > float64(s.largest)"),
}


def detect(name, folder, seeds):
    """Rehearses with a bug; returns a line on the result, and whether it was detected."""
    bound = BUGS[name][0]
    program = soakbugs.build(name, folder, BUGS)
    for instances in (28, 103):
        out = subprocess.run([program, "rehearse", "-bound", bound, "-instances", str(instances), "-seeds", str(seeds)], capture_output=True, text=True)
        broken = re.search(r"(\d+) broke the bound; (.*) \(", out.stdout)
        if out.returncode == 1 and broken:
            return f"{name}: {bound} broken by {broken[1]} of {seeds} plans of {instances} instances, {broken[2]}", True
    return f"{name}: {bound} NOT found broken: {out.stdout}{out.stderr}", False


def main():
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 2000
    folder = tempfile.mkdtemp()
    results = [detect(name, folder, seeds) for name in sys.argv[2:] or BUGS]
    for line, _ in results:
        print(line)
    shutil.rmtree(folder)
    sys.exit(not all(detected for _, detected in results))


if __name__ == "__main__":
    main()
