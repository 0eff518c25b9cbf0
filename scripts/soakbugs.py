#!/usr/bin/env python3
"""Checks that the soak test detects bugs: scripts/soakbugs.py [SEEDS [NAME...]]

Writes each bug, or each of those named, into a copy of the tree, builds the copy and
runs its soak test with up to SEEDS seeds (default 3) until the rule that the bug
violates is reported. SOAKBUGS_JOBS is how many run at a time (default 7). Prints a line for each bug, and exits with 1 if one was
not detected.
"""
import concurrent.futures, os, re, shutil, subprocess, sys, tempfile

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
# name: rule, and file, text, replacement of each change
BUGS = {
    "a token comes twice": ("ORDER", "ingress/attempt.go", "	if _, err := s.w.Write(event.Raw); err != nil {", "	if event.ID == 7 {\n\t\ts.w.Write(event.Raw)\n\t}\n	if _, err := s.w.Write(event.Raw); err != nil {"),
    "a stream that goes on begins anew": ("ORDER", "ingress/attempt.go", "		if event.ID <= s.lastID {", "		if false && event.ID <= s.lastID {",
        "ingress/stream.go", "	if s.lastID > 0 {\n		r.ResumeOffset", "	if s.lastID < 0 {\n		r.ResumeOffset", "ingress/attempt.go", "		if !s.isNextID(event.ID, a.newEvents == 0) {", "		if false {"),
    "a cut stream looks complete": ("ORDER", "ingress/stream.go", "	s.logFailure(0, \"stream cut: \"+cause, err)\n	panic(http.ErrAbortHandler)", "	s.logFailure(0, \"stream cut: \"+cause, err)\n	return"),
    "not run, though it may have": ("NOTRUN", "ingress/active_call.go", "	if !c.mayHaveRun {", "	if c != nil {"),
    "payments are sent again": ("TWICE", "ingress/plain.go", "			if c.mayHaveRun && !safe {", "			if false && c.mayHaveRun && !safe {"),
    "a stream's former target is not told to stop": ("TWICE", "ingress/stream.go", "	ctx, cancel := context.WithCancel(parent)\n", "	ctx, cancel := parent, func() {}\n",
        "ingress/attempt.go", "		sent.reply.Body.Close() //", "		//"),
    "a stream's former target is told to stop late": ("TWICE", "ingress/stream.go", "	ctx, cancel := context.WithCancel(parent)\n", "	ctx, stop := context.WithCancel(parent)\n	cancel := func() { time.AfterFunc(time.Second, stop) }\n",
        "ingress/attempt.go", "		sent.reply.Body.Close() //", "		//"),
    "the connection of a former attempt is closed late": ("TWICE", "upstream/pool.go", "	return resp, context.AfterFunc(parent, cancel), ", "	return resp, context.AfterFunc(parent, func() { time.AfterFunc(time.Second, cancel) }), ",
        "upstream/pool.go", "	b.endWatch()\n	b.poolConn.close()\n", "	time.AfterFunc(time.Second, b.poolConn.close)\n"),
    "a removed key is good while the store is away": ("REVOKED", "desired/tracker.go", "		if age > t.ages.Key {", "		if false && age > t.ages.Key {"),
    "a list of no organisations opens all routes": ("REVOKED", "desired/tracker.go", "(key != \"\" || current.state.KeysRequired())", "len(current.state.Organisations()) > 0"),
    "states are taken over late": ("CURRENT", "desired/tracker.go", "	t.current.Store(newTable(d))", "	time.AfterFunc(4*time.Second, func() { t.current.Store(newTable(d)) })"),
    "an older state is in force now and then": ("REVERTED", "desired/tracker.go", "	current := t.current.Load()\n	g :=", "	current := t.current.Load()\n	if p := t.old.Load(); p != nil && now%5 == 0 {\n		current = p\n	}\n	g :=",
        "desired/tracker.go", "current    atomic.Pointer[table]", "current, old atomic.Pointer[table]", "desired/tracker.go", "	t.current.Store(newTable(d))", "	t.old.Store(t.current.Load())\n	t.current.Store(newTable(d))"),
    "targets that leave get work": ("DRAIN", "registry/draining.go", "	return m.target.Draining() || m.draining", "	return m.draining"),
    "a removed entry leaves no trace": ("DRAIN", "registry/removed.go", "bool { return l.left || !t.IsNewerThan(l.sequence) }", "bool { return false }"),
    "heads of errors are not read": ("REST", "platform/sender.go", "	state := decodeTargetState(resp)\n", "	if resp.StatusCode/100 != 2 {\n\t\treturn\n\t}\n	state := decodeTargetState(resp)\n"),
    "safe calls go past the bars": ("DRAIN", "ingress/poison.go", "	if !m.AcceptsCalls(now) {", "	if c.grant.Route.Kind() == ragworthitch.CallSafe && m.Health().Usable(now) {\n\t\treturn true\n\t}\n	if !m.AcceptsCalls(now) {",
        "ingress/call.go", "	return r.Member.Barred(clock.Now())\n", "	return nil\n"),
    "a mark outlives its boot": ("BACK", "registry/draining.go", "	return location{boot: t.Boot(), address: t.Address()}", "	_ = t\n	return location{}"),
    "a backoff is cut short": ("REST", "backoff/backoff.go", "now.Add(min(a.Statement.Time, MaxTime))", "now.Add(min(a.Statement.Time, MaxTime) / 4)"),
    "calls are cut at the end": ("LOST", "instance/instance.go", "	if !clock.Sleep(lifetime, drainAcceptPeriod) {", "	if i != nil {"),
    "another target's address": ("UNASKED", "platform/sender.go", "	set(headerExpectedTarget, r.Target.ID())\n", ""),
    "the key is passed on": ("UNASKED", "platform/headers.go", "var systemHeaders = []string{headerKey, ", "var systemHeaders = []string{"),
    "no end in time": ("FINAL", "ingress/handler.go", "	ctx, cancel := context.WithTimeout(ctx, limit)", "	ctx, cancel := context.WithTimeout(ctx, limit+time.Minute)"),
    "the verdict is forgotten at a restart": ("DEADLY", "instance/crashes.go", "	err := platform.CrashWriter{Store: i.store}.Apply(writeCtx, edits[:n])", "	err := writeCtx.Err()"),
    "a bystander is condemned": ("BYSTANDER", "poison/verdict.go", "		quarantined := !t.DryRun && (e.upholdsVerdict(s) || e.judge(s) && !t.mostlySucceeds(s, now))", "		quarantined := len(s.crashes) > 0",
        "poison/verdict.go", "	tooSoon := s.crashPeriod() < minCrashPeriod && !s.hasVerdict()", "	tooSoon := false"),
    "crashes count for each request only": ("DEADLY", "poison/tracker.go", "		if c.isWeak() && isPair(c.Part) {", "		if i > 0 {"),
    "the last part of a prompt is not looked at": ("DEADLY", "ingress/poison.go", "poison.PromptParts(call.SharedParts, call.Subject)", "poison.Parts(call.SharedParts)"),
    "evidence dies with the instances": ("DEADLY", "poison/tracker.go", "	if c.storeQueued {\n		return\n	}\n", "	if c != nil {\n		return\n	}\n", "poison/verdict.go", "	t.queueEdit(Edit{Crash: last.Crash})\n", ""),
    "ends before the head are not crashes": ("DEADLY", "ingress/stream.go", "	if err != nil && parent.Err() == nil && failedAtTarget {", "	if a.headReceived && err != nil && parent.Err() == nil && failedAtTarget {"),
    "retries beyond the budget": ("RETRIES", "budget/budget.go", "	if limit, used := b.usage(w, now); float64(used+1) > limit {", "	if limit, used := b.usage(w, now); float64(used+1) > limit+1000 {"),
    "attempts beyond the route's": ("ATTEMPTS", "ingress/active_call.go", "	if c.attempts >= c.grant.Route.MaxAttempts() || c.isProbe {", "	if c.attempts >= 4 || c.isProbe {",
        "ingress/silence.go", "a.s.attempts < a.s.grant.Route.MaxAttempts()", "a.s.attempts < 4"),
    "more time than is left": ("TIME", "ingress/active_call.go", "time.Duration { return c.deadline.Sub(now) }", "time.Duration { return c.deadline.Sub(now) + 2*time.Second }"),
    "a sound part is stopped": ("BACK", "poison/sound.go", "		if s == nil {\n			continue\n		}\n", "		if s != nil || s == nil {\n			continue\n		}\n",
        "poison/tracker.go", "	c.SoundBefore = c.SoundBefore || soundAt != 0 || c.RecentSuccesses > 0 && c.Part == \"\" && c.Phase != Late", "	c.SoundBefore = false", "poison/tracker.go", "	if soundAt > at {", "	if false && soundAt > at {"),
    "every instance probes a part, again and again": ("DEADLY", "poison/probe.go", "	firstPartProbeDelay  = 5 * time.Minute", "	firstPartProbeDelay  = time.Millisecond", "poison/probe.go", "	maxPartProbes        = 2", "	maxPartProbes        = 1 << 20",
        "poison/probe.go", "	for range s.probes {", "	for range 0 {", "instance/crashes.go", "	row, err := platform.CrashWriter{Store: i.store}.ClaimProbes(ctx, probes)", "	row, err := int64(0), ctx.Err()"),
    "streams go round rate limits": ("LIMIT", "ingress/rate_limit.go", "	if !m.RateLimit().Active() ||", "	if c.grant.Route.Kind() == ragworthitch.CallStream ||\n		!m.RateLimit().Active() ||",
        "ingress/rate_limit.go", "	permit, ok := c.h.rateLimits.Take(m.RateLimit(), m.Target().ID(), c.isUrgent(now), now)", "	permit, ok := c.h.rateLimits.Take(m.RateLimit(), m.Target().ID(), c.isUrgent(now), now)\n	if !ok && c.grant.Route.Kind() == ragworthitch.CallStream {\n		permit, ok = (&ratelimit.Group{}).Take(&ratelimit.Limit{}, \"\", true, now)\n	}"),
    "each instance takes the whole rate limit": ("LIMIT", "ratelimit/group.go", "	if g.List == nil {\n		return 1, false", "	if g != nil {\n		return 1, false"),
    "heads have no bounds": ("ENDLESS", "upstream/limits.go", "	if g.left <= 0 {", "	if g == nil {", "upstream/limits.go", "	return min(n, g.left), nil", "	return n, nil",
        "upstream/limits.go", "g.informational > maxInformational {", "g == nil {"),
    "clients take memory without a bound": ("USAGE", "downstream/downstream.go", "memory: admit.NewMemory(memory)", "memory: admit.NewMemory(0)",
        "downstream/conn.go", "; limit > 0 && size > limit+headSlack {", "; limit > 0 && size < 0 {", "downstream/handler.go", "; limit > 0 && size > limit {", "; limit > 0 && size < 0 {"),
    "closed connections keep their memory": ("BACK", "downstream/conn.go", "		c.l.guard.memory.Free(c.state.held)\n		c.state.held = 0\n", "		c.state.held = 0\n"),
    "a panic ends the process": ("ALIVE", "health/health.go", "	if s.nextFailure != nil {\n		close(s.nextFailure)\n		s.nextFailure = nil\n	}\n", "	panic(s)\n"),
}


# Bugs that are detected with a plan file instead of seeds.
PLANS = {
    "a removed entry leaves no trace": "testdata/soak/late-removal.yaml",
    "the verdict is forgotten at a restart": "testdata/soak/all-killed-after-verdict.yaml",
    "crashes count for each request only": "testdata/soak/poison-part.yaml",
    "the last part of a prompt is not looked at": "testdata/soak/part-last.yaml",
    "evidence dies with the instances": "testdata/soak/part-restarts.yaml",
    "a sound part is stopped": "testdata/soak/poison-part.yaml",
    "every instance probes a part, again and again": "testdata/soak/poison-part.yaml",
    "streams go round rate limits": "testdata/soak/rate-limits.yaml",
    "each instance takes the whole rate limit": "testdata/soak/rate-limits.yaml",
    "heads have no bounds": "testdata/soak/endless.yaml",
    "clients take memory without a bound": "testdata/soak/crowds.yaml",
    "closed connections keep their memory": "testdata/soak/crowds.yaml",
}
# Sizes of the bugs that are not detected with the usual one.
SIZES = {"a stream's former target is not told to stop": "handover", "a stream's former target is told to stop late": "handover", "the connection of a former attempt is closed late": "handover",
         "ends before the head are not crashes": "few", "retries beyond the budget": "few", "attempts beyond the route's": "few", "more time than is left": "few"}


def build(name, folder, bugs=BUGS):
    """Builds a copy of the tree with a bug; returns the program's path."""
    changes = bugs[name][1:]
    copy = os.path.join(folder, re.sub(r"\W", "_", name))
    shutil.copytree(ROOT, copy, ignore=shutil.ignore_patterns("journal", ".git"))
    for path, old, new in zip(changes[::3], changes[1::3], changes[2::3]):
        text = open(os.path.join(copy, path)).read()
        if text.count(old) != 1:
            raise SystemExit(f"{name}: expected one match of {old!r} in {path}, found {text.count(old)}")
        open(os.path.join(copy, path), "w").write(text.replace(old, new))
    program = os.path.join(copy, "rw")
    subprocess.run(["go", "build", "-o", program, "./cmd/ragworthitch"], cwd=copy, check=True)
    return program


def detect(name, folder, seeds):
    """Runs soak tests with a bug; returns a line on the result, and whether they detected it."""
    program = build(name, folder)
    rule = BUGS[name][0]
    violated = set()
    runs = [(f"seed {seed}", ["-seed", str(seed), "-for", "45s", "-size", SIZES.get(name, "small")]) for seed in range(1, seeds + 1)]
    if name in PLANS:
        runs = [(PLANS[name], ["-plan", os.path.join(ROOT, PLANS[name])])]
    for label, args in runs:
        out = subprocess.run([program, "soak", *args, "-dir", os.path.join(folder, "plays")], capture_output=True, text=True)
        violated |= set(re.findall(r"^ +[\d.]+ s ([A-Z]+) ", out.stdout, re.M))
        if rule in violated:
            return f"{name}: {rule} broken, found with {label}", True
    return f"{name}: {rule} NOT found with {[label for label, _ in runs]}; found {sorted(violated)}", False


def main():
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    folder = tempfile.mkdtemp()
    with concurrent.futures.ThreadPoolExecutor(int(os.environ.get("SOAKBUGS_JOBS", 7))) as executor:
        results = list(executor.map(lambda name: detect(name, folder, seeds), sys.argv[2:] or BUGS))
    for line, _ in results:
        print(line)
    if all(detected for _, detected in results):
        shutil.rmtree(folder)
    else:
        print("logs and records:", os.path.join(folder, "plays"))
    sys.exit(not all(detected for _, detected in results))


if __name__ == "__main__":
    main()
