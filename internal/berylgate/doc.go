// Package berylgate is the HTTP server for callers. It authenticates each request, enforces limits, determines its
// deadline and priority class, passes it to the upstream calls and returns the complete answer or a refusal. A refusal
// tells whether the request was run, as far as that is known.
//
// A keyed request is one with an Idempotency-Key header. Its outcome is recorded, so that a resend with the same key gets
// the recorded answer.
package berylgate
