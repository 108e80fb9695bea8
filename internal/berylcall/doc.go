// Package berylcall carries one request to upstreams: stream, retry, hedge, resume and cancel.
package berylcall
