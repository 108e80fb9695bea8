// Package beryllimit enforces each client account's rate and concurrency limits across all live hosts.
//
// One live host owns each account, chosen by rendezvous hashing (Thaler and Ravishankar 1998). The owner keeps the
// account's token buckets and leases small amounts to the hosts that request them. A host that can't reach the owner
// falls back to its share: the limit divided by the number of live hosts.
package beryllimit
