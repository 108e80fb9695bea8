// Package berylapi holds the types of berylroad's public HTTP API and a client for it.
package berylapi
