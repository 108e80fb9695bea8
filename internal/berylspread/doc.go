// Package berylspread distributes each accepted configuration to every host.
//
// A few hosts of a region watch the platform's key-value service. The revision is piggybacked on the
// membership's probes, and a host that learns of a higher revision pulls the configuration from the peer that reported
// it. The platform thus serves a constant number of readers, however many hosts there are.
package berylspread
