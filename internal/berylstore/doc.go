// Package berylstore declares the interface of the platform's key-value store, follows parts of the store, and lets
// hosts share the load of it: they watch for each other, make calls for hosts that can't reach the store, and combine
// writes.
//
// State that must survive the loss of every host is kept in the store and nowhere else. Each call returns what is
// certain about it; in particular, a write whose answer did not arrive may or may not have taken effect.
package berylstore
