// Package berylonce deduplicates requests that carry an idempotency key.
//
// A host claims a key by writing a record to the platform's key-value service before it runs the request, and
// overwrites the record with the answer when the run has ended. A request with the same key is then refused while the
// first one runs and gets the recorded answer afterwards. Never-repeat requests run at most once, even when hosts fail;
// other requests may run again when their first host has failed.
package berylonce
