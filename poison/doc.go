// Package poison detects poison requests, which crash the targets that run them, and
// quarantines them. A crashed target looks like any other lost target, so its calls fail
// over; a poison request then crashes the next target, for each retry of its caller and at
// every instance.
//
// Instances report to their peers, and write to the store, which requests a target had
// just started to run when it crashed (Crash). A request under which three targets have
// crashed, and that has not succeeded since, is quarantined: all instances reject it at
// once. The state of a request depends on how soon after the start of the attempt the
// target crashed, whether others of its zone or service were lost with it, which other
// requests it was running, and which attempts succeeded. A quarantine ends: after a delay,
// or when the service has a new version, one instance probes the request once.
package poison
