// Package berylload measures a fleet under open-loop load. Arrivals are generated from a seed, and latency is measured from
// the intended start of a request, so that a delayed start counts as latency.
package berylload
