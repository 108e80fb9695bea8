// Package berylsched decides which request may call which upstream, and when.
//
// Exactly one live host, the owner, counts the slots of an upstream. Owner is the plain state machine of one host for
// all upstreams it owns; Scheduler is the duty that feeds it, and the broker through which the host's own requests
// obtain permits from owners anywhere in the fleet.
//
// Owners are placed by rendezvous (highest random weight) hashing, after Thaler and Ravishankar, "Using name-based
// mappings to increase hit rates" (1998).
package berylsched
