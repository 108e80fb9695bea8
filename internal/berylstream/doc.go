// Package berylstream passes answers on to callers as they arrive and detects callers that have disconnected.
package berylstream
