// Package berylhost keeps the list of berylroad's own hosts that are up, by probing among them.
//
// It follows SWIM (Das, Gupta and Motivala, 2002): random probes, indirect probes, suspicion, and news carried on the
// probes. In addition each host probes its next four successors on a hash ring, which bounds the time until a lost host
// is first missed.
package berylhost
