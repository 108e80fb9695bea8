package berylstore

import "time"

// Through returns the revision up to which the copy holds all changes; zero means that there is no copy yet.
func (f *Follower) Through() int64 {
	return f.through.Load()
}

// Quiet reports whether neither the store nor a host in reach of it has confirmed the copy for longer than a watch takes.
func (f *Follower) Quiet(now time.Time) bool {
	at := f.confirmed.Load()
	return at == nil || now.Sub(*at) > f.wait()+watchSlack
}

// confirm records that the last answer was applied, so that the copy holds all changes up to a revision.
func (f *Follower) confirm(through int64) {
	f.through.Store(through)
	at := f.answeredAt
	f.confirmed.Store(&at)
}
