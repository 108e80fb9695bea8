// Package berylpermit defines the messages by which hosts request a slot from the owner of an upstream and release
// it.
//
// Exactly one host, the owner, counts the slots of an upstream. A permit is the right to have one call in flight
// there.
package berylpermit
