// Package ragworthitch holds the domain types of a serving system for long
// model generations on engines that may die mid-stream: requests and their
// attempts, targets, leases and the token chain that lets a checker prove an
// answer whole.
//
// The processes that use these types live in their own packages: entry (the
// caller-facing instance), agent (the process beside each target), and the
// stand-ins for the platform, the model engines and the plain services.
package ragworthitch
