// Package berylresponse reads HTTP/1.1 responses and rejects those that are not valid or not whole.
//
// HTTP libraries accept more than the protocol allows. What they make of an invalid head may be another response than the one that was
// sent, so a gateway must not pass it on.
package berylresponse
