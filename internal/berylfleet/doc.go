// Package berylfleet runs complete hosts, with fakes of the platform and the engines, in one process. It is used for
// demonstrations and benchmarks.
package berylfleet
