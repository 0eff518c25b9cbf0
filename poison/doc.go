// Package poison recognises requests that crash the targets which run them (poison
// requests, or queries of death), so that they are not run again. A target that
// crashes looks like any other that is lost, and its requests go on elsewhere; one
// that has crashed it crashes the next, for each try of its caller, at every
// instance that it comes to.
//
// Instances tell each other which requests had just begun to run when a target
// crashed (Death), and keep that in the store. A request under which three targets
// have crashed, and that has never run well since, is condemned: it is rejected at
// once, everywhere. Bad luck is told from guilt by how soon after the run began the
// target crashed, by whether others of its zone or service were lost with it, by who
// else was aboard each time, and by runs that end well. A verdict ends: after a
// while, or when the service has a new version, one instance tries the request once.
package poison
