// Package soak runs the real programs as separate processes on one machine,
// injects faults from outside, and checks what callers and targets recorded.
//
// An execution has one store, several entry instances, model engines and plain
// services, each in its own process, and a loopback proxy for every link between
// them. A plan, drawn from a seed, sets when processes are stopped, paused, killed
// and restarted, when links are delayed, reset or blocked, how the store fails and
// what the operator changes. Callers send calls all the time. Afterwards Check
// verifies the guarantees given to callers against the records of the callers, the
// targets and the operator.
//
// Check shares no code with the serving packages. The store, the targets and the
// headers of calls come from the platform's stand-ins.
package soak
