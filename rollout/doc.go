// Package rollout decides how a service's calls are moved to targets of a new version, or
// rolled back. It has no network and no coordinator: every instance decides from the
// operator's order, from the answers of both versions that all instances have reported,
// and from a status in the store. Writes of the status are conditional, so of several
// instances that decide at once the first succeeds and the others follow it.
//
// States of an order, and where new calls go in each:
//
//	state       new calls, and replicas of streams      next states
//	(none)      any version                             Running, Moving, Completed, RolledBack
//	Running     a canary share to the new version       Moving, RolledBack
//	Moving      new version                             Completed, RolledBack
//	Completed   new version                             (final)
//	RolledBack  old version                             (final)
//
// A call goes to another version than the selected one if no target of the selected version
// takes it, but never to a version that was rolled back. Moving gives the calls at the old
// targets time to end, since these targets stop when the order is completed.
//
// A version that was rolled back stays rejected when the operator orders another one, since its
// targets leave only some time later; so does the version of an order that was withdrawn, or
// replaced before it was completed. Each status therefore names the rejected versions, up to
// maxRejected of them: an instance that starts later learns of them with the status, and a
// status is written only after the one that it replaces was read. A rejected version gets no
// calls, and counts neither as the old nor as the new version: its targets and answers take no
// part in a decision. If only rejected versions have targets, calls are rejected at once.
//
// A rejected version that is ordered anew is judged anew, with the canary share, unless it was
// found bad and has given maxBadBefore bad answers: then that order is rolled back at once. An
// order that is completed readmits its version.
//
// A status also names the versions that were in service when its order began: those of
// completed orders, and those that had been there before the order. They are not on trial, so an
// order for one of them moves the calls at once, and does not reject it however it ends.
//
// Every instance applies the canary share to its own calls, so the operator's bound on the
// share holds over all instances, whatever their number. Other calls that reach the new
// version, by a retry or because no old target took them, are charged to the same budget.
// An instance uses its part of the slack only if it knows the number of
// instances and was running when the order came; the rest is a margin for random variation.
// From Moving on the bound doesn't hold: a version that turns bad then exceeds it before it
// is found bad. The alternative would stop the old targets while they run all streams.
//
// The judge compares the answers of both versions in the same period, by route and symptom.
// To promote a version it uses Wald's sequential probability ratio test (SPRT, 1945) with
// error rates missedBad and missedBadRoute. To roll back it uses Page's cumulative sum
// (CUSUM, 1954) of the same ratios, which finds a version that turns bad late as fast as
// one that is bad from the start.
package rollout
