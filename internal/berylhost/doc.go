// Package berylhost keeps the list of berylroad's own hosts that are up, by probing among them.
//
// It follows SWIM (Das, Gupta and Motivala, 2002): probes, indirect probes, suspicion, and news carried on the probes. In
// place of random targets each host probes its next four successors on a ring, which bounds the time until a lost host is
// first missed, and a small, slowly moving choice of partners, which spreads the news without a new connection each time.
package berylhost
