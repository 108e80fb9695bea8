// Package berylrelay carries one request to upstreams and its answer back: it obtains permits, makes calls, and decides
// what follows a call that failed.
//
// A request that may not be repeated runs at most once. A stream that may be resumed goes on at another upstream within
// the same answer. The end of a request is one value that says whether it can have run.
package berylrelay
