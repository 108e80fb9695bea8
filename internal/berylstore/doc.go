// Package berylstore declares what the duties of a host need from the platform's key-value store, and follows parts of
// it.
//
// What must outlive every host is kept there and nowhere else. Each call ends with a value that says what is certain
// about it; above all, a write whose answer did not arrive is neither done nor undone.
package berylstore
