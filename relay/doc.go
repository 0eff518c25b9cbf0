// Package relay passes the store's tables from one entry instance to the others of
// its availability zone, so that the number of calls to the store does not grow
// with the number of instances.
//
// All instances of a zone rank each other in the same order, by rendezvous hashing, and
// each asks the first of them that answers. An instance reads from the store if it ranks
// first, if peers ask it, or if no peer answers. There is no election: two
// instances that both read from the store cost additional calls, but the table stays
// correct. The asking instance counts the age of a table on its own clock, from
// the time at which it sent its question. A paused peer or a late answer therefore
// never makes a table look younger than it is.
//
// Changed rows are sent at once. Writes that only renew a target's heartbeat are sent
// less often.
package relay
