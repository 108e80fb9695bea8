package beryletcd

import "sync"

// clusterRevision is the highest revision seen of a cluster.
type clusterRevision struct {
	cluster  uint64
	revision int64
}

// seenRevision remembers the highest revision seen, so that a read from an older state can be told from a good one.
type seenRevision struct {
	mu   sync.Mutex
	seen clusterRevision
}

// highest returns what was seen so far.
func (s *seenRevision) highest() clusterRevision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen
}

// observe takes an answer's header and reports whether it is at least as new as what was seen before its call went out; a
// cluster restored from a backup has another name, and counts anew.
func (s *seenRevision) observe(header wireHeader, before clusterRevision) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if header.ClusterID == before.cluster && header.Revision < before.revision {
		return false
	}
	if header.ClusterID != s.seen.cluster || header.Revision > s.seen.revision {
		s.seen = clusterRevision{cluster: header.ClusterID, revision: header.Revision}
	}
	return true
}
