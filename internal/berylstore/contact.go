package berylstore

import "time"

// steadyTime is how long the store has to be in reach for its next outage to count as a new one. Outages that follow each other more
// closely are one series.
const steadyTime = 3 * time.Second

// callOutcome is what the end of a call says about whether the store is in reach.
type callOutcome uint8

const (
	// callAnswered means that the store, or a host with a recent copy, has answered.
	callAnswered callOutcome = iota
	// watchCut means that the connection of a waiting watch has ended before the wait was over. The store may cut such watches
	// at any time, so that only the next call shows whether it is in reach.
	watchCut
	// callFailed means that a call was refused or not answered in time.
	callFailed
)

// contact is what a follower knows about whether the store is in reach. The zero value is a store that always was. Values are
// immutable; after returns the next one.
type contact struct {
	// cutAt is when a watch was cut whose repetition has not ended yet; otherwise zero.
	cutAt time.Time
	// lostAt is when the store was lost; zero while it is in reach.
	lostAt time.Time
	// reconnectedAt is when the last outage ended, and unsteadySince when the first one of its series did; zero before any.
	reconnectedAt, unsteadySince time.Time
	// cuts and outages count the watches that were cut and the outages.
	cuts, outages int
}

// after returns the contact after a call has ended with an outcome.
func (c contact) after(now time.Time, outcome callOutcome) contact {
	switch {
	case outcome == watchCut:
		c.cuts++
		if c.lostAt.IsZero() {
			c.cutAt = now
		}
		return c
	case outcome == callFailed && c.lostAt.IsZero():
		c.outages++
		c.lostAt = now
		if !c.cutAt.IsZero() {
			c.lostAt = c.cutAt
		}
	case outcome == callAnswered && !c.lostAt.IsZero():
		if c.reconnectedAt.IsZero() || c.lostAt.Sub(c.reconnectedAt) >= steadyTime {
			c.unsteadySince = now
		}
		c.reconnectedAt, c.lostAt = now, time.Time{}
	}
	c.cutAt = time.Time{}
	return c
}
