// Package beryllimit holds callers to their limits over all live hosts.
//
// Each caller has one owner among the live hosts, chosen by rendezvous hashing (Thaler and Ravishankar 1998). The owner
// keeps the caller's token buckets and lends small amounts to the hosts that ask. A host that can't reach the owner
// goes on with its share, the limit divided by the number of live hosts.
package beryllimit
