// Package berylcall carries one request to upstreams: stream, retry, hedge, resume and cancel.
//
// A Runner makes a call for each request. The call asks for a permit, makes an attempt on the permit's upstream and
// passes the answer to a Sink. What follows a failed attempt, and what the caller is told in the end, is decided by the
// plain values in ending.go, policy.go, budget.go and latency.go; the other files do the input and output.
//
// Second calls for late answers follow "The Tail at Scale" by Dean and Barroso (2013), hedged requests.
package berylcall
