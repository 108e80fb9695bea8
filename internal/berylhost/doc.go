// Package berylhost implements cluster membership: it keeps the list of berylroad's own hosts that are up, by having
// them probe each other.
//
// The protocol is SWIM (Das, Gupta and Motivala, 2002): direct probes, indirect probes, suspicion, and membership updates
// piggybacked on the probes. It differs from SWIM in the choice of probe targets. Each host probes its next four
// successors on a hash ring, which bounds the time until the loss of a host is first noticed. It also probes a small
// window of partners that shifts slowly, which spreads the updates without a new connection for each probe.
package berylhost
