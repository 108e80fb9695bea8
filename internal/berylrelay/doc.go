// Package berylrelay carries one request to upstreams and relays the answer: it acquires permits, makes calls, and
// decides what follows a failed call.
//
// A request that may not be repeated runs at most once. A resumable stream continues on another upstream within the
// same answer. The result of a request is one value that says whether the request may have run.
package berylrelay
