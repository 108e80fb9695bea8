// Package berylsocket looks at the state of TCP connections and bounds what they hold.
package berylsocket
