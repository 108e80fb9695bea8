package berylroute

import "time"

const (
	// departingMemory is how long it is remembered that a run leaves after it was last announced. A run may be announced again
	// under the same ID after an outage of the store, but not after its end, which is seconds after it has said that it leaves.
	departingMemory = 10 * time.Minute
	// maxDepartingRuns bounds the runs that are remembered. The fleet is designed for 600 upstreams.
	maxDepartingRuns = 4096
	// doubtTime is how long a run gets no new work that may be the one that has said that it leaves. A run that leaves ends
	// within seconds.
	doubtTime = 30 * time.Second
	// maxClockDifference is the largest difference assumed between the clocks of an upstream and of this host, a step of either
	// included.
	maxClockDifference = 5 * time.Second
)

// upstreamRun identifies one run of an upstream.
type upstreamRun struct {
	id              string
	startedAtMillis int64
}

// departingRuns remembers which runs of upstreams have said in an answer that they leave. The zero value is empty.
type departingRuns struct {
	lastSeen map[upstreamRun]time.Time // when the run was last marked or announced
	// lastSaid is when an answer under the ID was last received here that says so. It may be of a later run than the one that was
	// marked, whose announcement had not arrived.
	lastSaid map[string]time.Time
}

// said records an answer that says that the upstream leaves.
func (d *departingRuns) said(now time.Time, id string) {
	if d.lastSaid == nil {
		d.lastSaid = make(map[string]time.Time)
	}
	d.lastSaid[id] = now
}

// mayHaveSaid reports whether a run may have started before the last answer under its ID said that it leaves.
func (d *departingRuns) mayHaveSaid(u *Upstream) bool {
	at, ok := d.lastSaid[u.ID]
	return ok && u.StartedAtMillis != 0 && u.StartedAtMillis <= at.Add(maxClockDifference).UnixMilli()
}

// add remembers a run and reports whether it was not known before. If there are too many runs, the one that was not seen for
// longest is forgotten.
func (d *departingRuns) add(now time.Time, id string, startedAtMillis int64) bool {
	run := upstreamRun{id, startedAtMillis}
	if _, known := d.lastSeen[run]; known {
		return false
	}
	if d.lastSeen == nil {
		d.lastSeen = make(map[upstreamRun]time.Time)
	}
	if len(d.lastSeen) >= maxDepartingRuns {
		delete(d.lastSeen, d.oldest())
	}
	d.lastSeen[run] = now
	return true
}

func (d *departingRuns) oldest() upstreamRun {
	var oldest upstreamRun
	var at time.Time
	for run, seen := range d.lastSeen {
		if at.IsZero() || seen.Before(at) {
			oldest, at = run, seen
		}
	}
	return oldest
}

func (d *departingRuns) contains(id string, startedAtMillis int64) bool {
	_, known := d.lastSeen[upstreamRun{id, startedAtMillis}]
	return known
}

// expire forgets the runs that have not been announced for departingMemory.
func (d *departingRuns) expire(now time.Time, announced map[string]Upstream) {
	for run, seen := range d.lastSeen {
		if u, ok := announced[run.id]; ok && u.StartedAtMillis == run.startedAtMillis {
			d.lastSeen[run] = now
		} else if now.Sub(seen) > departingMemory {
			delete(d.lastSeen, run)
		}
	}
	for id, at := range d.lastSaid {
		if now.Sub(at) > departingMemory {
			delete(d.lastSaid, id)
		}
	}
}
