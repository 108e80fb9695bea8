// Package berylfleet runs whole hosts with stand-ins around them in one process, for demonstrations and measurements.
package berylfleet
