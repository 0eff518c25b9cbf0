// Package ragworthitch defines the domain types of a proxy for long model
// generations, which continue at another engine if theirs crashes mid-stream:
// the desired state (routes, services, organisations), targets, requests, and
// the token chain with which a checker proves that an answer is complete.
//
// Other packages implement the processes: instance and entry (the process that
// callers reach), agent (the process next to each target), and the stand-ins
// for the platform, the model engines and the plain services.
package ragworthitch
