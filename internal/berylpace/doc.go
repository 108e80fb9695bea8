// Package berylpace determines how many calls an upstream that has just started or recovered may carry.
//
// Pace is a state machine without clock or I/O. It combines slow start and congestion avoidance after Jacobson,
// "Congestion avoidance and control" (1988), with comparisons of latency; docs/design/pace.md states what was weighed.
package berylpace
