package beryletcd

import "sync"

// seenAt is the highest revision seen of a cluster.
type seenAt struct {
	cluster  uint64
	revision int64
}

// seenRevision remembers the highest revision seen, so that a read from an older state can be told from a good one.
type seenRevision struct {
	mu   sync.Mutex
	seen seenAt
}

// load returns what was seen so far.
func (s *seenRevision) load() seenAt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen
}

// note takes an answer's header and reports whether it is at least as new as what was seen before its call went out; a
// cluster restored from a backup has another name, and counts anew.
func (s *seenRevision) note(header wireHeader, before seenAt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if header.ClusterID == before.cluster && header.Revision < before.revision {
		return false
	}
	if header.ClusterID != s.seen.cluster || header.Revision > s.seen.revision {
		s.seen = seenAt{cluster: header.ClusterID, revision: header.Revision}
	}
	return true
}
