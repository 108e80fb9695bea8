// Package berylpermit holds the messages by which hosts ask the owner of an upstream for a slot and give it back.
//
// Exactly one host, the owner, counts the slots of an upstream. A permit is the right to have one call in flight there.
package berylpermit
