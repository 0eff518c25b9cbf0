// Package poison detects requests, and parts of prompts that many requests share, which
// crash the targets that run them, and quarantines them. A crashed target looks like any
// other lost target, so its calls fail over; a poison request then crashes the next target,
// for each retry of its caller and at every instance, and a poison part does so in every
// request that has it.
//
// Instances report to their peers, and write to the store, which requests a target
// ran when it crashed (Crash). A crash counts against the request and
// against each part of its prompt. One under which three targets have crashed, and that has
// not succeeded since, is quarantined: all instances reject it at once. The state of a
// suspect depends on the phase of the attempt in which the target crashed, whether others of its
// zone or service were lost with it, which other requests it was running, and which attempts
// succeeded.
//
// A crash at the start of an answer is strong evidence against its request. A crash before the
// head, or later, is weak evidence: all requests at the target have some. It counts against the
// one that leads by the number of its crashes, and not in an outage. Of requests with equally
// many, that one leads whose calls got no further elsewhere (Progress). A run clears only crashes
// at points of the answer that it has passed (Extent).
//
// Sound requests may share the caller and all parts but one with those that crash targets.
// Each request that begins an answer clears the parts that it has (SoundRun), at targets of
// the same service and version, and instances tell each other so. A request or part that has
// run well lately is suspected only if its crashes go on without such a run. Of several parts
// that no evidence tells apart, a request that has only some is sent as a probe.
//
// A quarantine ends: after a delay, or when the service has a new version, one instance
// probes the request or part once.
package poison
