// Package berylstream passes answers on to callers as they arrive and notices callers that have gone.
package berylstream
