// Package relay spreads what one entry instance has read of the store's tables
// to the others of its availability zone, so that the calls to the store do not
// grow with the number of instances.
//
// Every instance orders those of its zone alike, by rendezvous hashing, and asks
// the first of them that answers. The one that comes before all others reads
// from the store, and so does any that is asked, or that nobody answers: there is
// no election, and two that read at once cost calls, not a promise. Knowledge has
// an age that the asker counts from its own question on, on its own clock. An
// instance that stood still, or whose word comes late, cannot make it look
// younger.
//
// Tables are told as they change. A target's heartbeats, which change nothing,
// are told now and then only.
package relay
