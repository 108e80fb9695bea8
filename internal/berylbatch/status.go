package berylbatch

import (
	"slices"
	"strings"
)

// JobStatus is what a host knows of an open job.
type JobStatus struct {
	// ID is the job's, Route names its route.
	ID    string `json:"id"`
	Route string `json:"route"`
	// Owner names the host that runs it; it is empty while nobody does.
	Owner string `json:"owner"`
	// Here says that this host runs it.
	Here bool `json:"here"`
	// Items counts its items, and Listed the results that this host knows to last.
	Items  int `json:"items"`
	Listed int `json:"listed"`
	// Running and Finished count the items in flight and those not listed yet, where this host runs it.
	Running  int `json:"running"`
	Finished int `json:"finished"`
	// Adoptions counts the changes of owner.
	Adoptions int `json:"adoptions"`
	// AcceptedMS is when it was accepted, in milliseconds of Unix time.
	AcceptedMS int64 `json:"accepted-ms"`
}

// Status returns the open jobs, sorted by the time of their acceptance.
func (m *Manager) Status() []JobStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []JobStatus
	for id, j := range m.jobs {
		if !j.record.Open() {
			continue
		}
		s := JobStatus{
			ID: id, Route: j.record.Route, Owner: j.record.Owner, Here: j.isRunningHere(), Items: j.record.Total,
			Listed: len(j.results), Finished: len(j.finished), Adoptions: j.record.Adoptions, AcceptedMS: j.record.Submitted,
		}
		for _, it := range j.items {
			if it.running {
				s.Running++
			}
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b JobStatus) int {
		if a.AcceptedMS != b.AcceptedMS {
			return int(a.AcceptedMS - b.AcceptedMS)
		}
		return strings.Compare(a.ID, b.ID)
	})
	return list
}
