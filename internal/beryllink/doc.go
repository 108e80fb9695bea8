// Package beryllink carries the scheduler's messages between hosts.
package beryllink
