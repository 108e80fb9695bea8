// Package berylsched decides which request may call which upstream, and when.
//
// One live host, the owner, counts the slots of an upstream and grants permits for them. Owner is the state machine of
// one host for all upstreams it owns, without clock or I/O. Scheduler runs the Owner and is the broker through which
// the host's own requests obtain permits from owners on any host.
//
// Owners are placed by rendezvous (highest random weight) hashing, after Thaler and Ravishankar, "Using name-based
// mappings to increase hit rates" (1998).
package berylsched
