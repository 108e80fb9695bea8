// Package berylkey creates and loads the fleet's keys: its certificate authority, the hosts' certificates and the callers'
// API keys.
package berylkey
