// Package berylquarantine finds the prompt parts that crash upstreams and keeps requests with them away from upstreams.
//
// Table is the state machine that weighs the evidence. It has no clock, goroutine or I/O. Quarantine runs it on one host: it
// asks the other hosts for their evidence at each crash, spreads verdicts among them and keeps verdicts in the store.
package berylquarantine
