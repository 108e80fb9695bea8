// Package beryllimit enforces the limits of client accounts across all hosts.
//
// One live host owns each account, chosen by rendezvous hashing (Thaler and Ravishankar 1998). The owner keeps the
// account's token buckets and leases small amounts to the hosts that request them. A host that can't reach the owner
// falls back to its share of the limit. The own interface limits requests, tokens and requests in flight (Limiter.Take).
//
// Windowed accounts, those of the platform, have a rate of requests and a burst (Limiter.Admit). Their leases are short and
// are settled: unspent requests, requests that did not run and further sends are reported to the owner. No more of an
// account's requests than its bound are admitted in any window of 5 s, also while hosts die, are cut off or restart; see
// docs/design/account-limits.md.
package beryllimit
