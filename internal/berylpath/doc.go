// Package berylpath tells whether a host reaches upstreams, so that faults of the host's own network are not held against the
// upstreams.
package berylpath
