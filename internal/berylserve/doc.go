// Package berylserve puts the duties of one host together: it wires their small interfaces to each other and runs them.
package berylserve
