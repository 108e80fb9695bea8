// Package beryllink sends the scheduler's messages to other hosts and registers the handlers that receive them.
package beryllink
