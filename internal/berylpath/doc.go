// Package berylpath gives a host a path to upstreams while it can't reach them itself: it notices that the host is isolated
// from upstreams and carries the bytes of connections through other hosts.
package berylpath
