package berylbatch

import (
	"slices"
	"strings"
)

// JobStatus is this host's view of an open job.
type JobStatus struct {
	// ID is the job's ID and Route the name of its route.
	ID    string `json:"id"`
	Route string `json:"route"`
	// Account is the name of the client account that sent the job, or empty.
	Account string `json:"account,omitempty"`
	// Owner names the host that runs the job; it is empty while no host does.
	Owner string `json:"owner"`
	// Here is set if this host runs the job.
	Here bool `json:"here"`
	// Items is the number of items and Listed the number of committed results that this host has seen.
	Items  int `json:"items"`
	Listed int `json:"listed"`
	// Running is the number of items in flight and Finished the number of results not committed yet. Both are zero
	// unless this host runs the job.
	Running  int `json:"running"`
	Finished int `json:"finished"`
	// Adoptions counts the changes of owner.
	Adoptions int `json:"adoptions"`
	// AcceptedMS is when the job was accepted, in milliseconds of Unix time.
	AcceptedMS int64 `json:"accepted-ms"`
}

// Status returns the open jobs, ordered by the time of their acceptance.
func (m *Manager) Status() []JobStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []JobStatus
	for id, j := range m.jobs {
		if !j.record.Open() {
			continue
		}
		s := JobStatus{
			ID: id, Route: j.record.Route, Account: j.record.Account, Owner: j.record.Owner, Here: j.isRunningHere(), Items: j.record.Total,
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
