// Package berylspread brings each accepted configuration to every host.
//
// A few hosts of a region watch the platform's service. The revision rides on the membership's probes, and a host that
// hears of a higher one pulls it from the peer that told of it, so the platform sees a constant number of readers.
package berylspread
