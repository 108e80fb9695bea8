// Package berylcall carries one request to upstreams: it streams, retries, hedges, resumes and cancels.
//
// A Runner makes a call for each request. The call acquires a permit, makes an attempt on the permit's upstream and
// passes the answer to a Sink. What follows a failed attempt, and what is reported to the caller in the end, is
// decided without any I/O in ending.go, policy.go, budget.go and latency.go; the other files do the I/O.
//
// Second calls for late answers are the hedged requests of "The Tail at Scale" by Dean and Barroso (2013).
package berylcall
