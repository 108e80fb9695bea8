// Package berylkey makes and loads the keys of the fleet: its certificate authority, the hosts' certificates and the
// callers' API keys.
package berylkey
