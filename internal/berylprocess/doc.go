// Package berylprocess contains end-to-end tests. They run hosts and stand-ins as separate processes, kill and freeze them,
// and script faults of upstreams and the platform.
package berylprocess
