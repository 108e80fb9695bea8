// Package berylload measures a fleet under load: open-loop arrivals from a seed, latency from the intended start.
package berylload
