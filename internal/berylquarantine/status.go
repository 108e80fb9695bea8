package berylquarantine

import "time"

// Status describes a verdict in force.
type Status struct {
	Verdict
	// Key names the verdict.
	Key string `json:"key"`
	// Stored is true once the store holds the verdict.
	Stored bool `json:"stored"`
	// AgeMS is how long this host has known the verdict or its last trial, in milliseconds.
	AgeMS int64 `json:"age-ms"`
	// NextTrialMS is the time until the next trial in milliseconds, or -1 if there is none.
	NextTrialMS int64 `json:"next-trial-ms"`
}

// Status returns the verdicts in force, sorted by key.
func (q *Quarantine) Status() []Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	var list []Status
	for _, v := range q.verdicts.list() {
		s := Status{Verdict: v.Verdict, Key: v.Key(), Stored: v.revision != 0, AgeMS: now.Sub(v.knownSince).Milliseconds(), NextTrialMS: -1}
		if due, more := v.trialDue(Prompt{}); more {
			s.NextTrialMS = max(due.Sub(now), 0).Milliseconds()
		}
		list = append(list, s)
	}
	return list
}
