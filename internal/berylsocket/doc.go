// Package berylsocket looks at the state of TCP connections.
package berylsocket
