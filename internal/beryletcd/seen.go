package beryletcd

import "sync"

// clusterRevision is a revision of one cluster.
type clusterRevision struct {
	cluster  uint64
	revision int64
}

// seenRevision holds the highest revision seen so far, to detect reads that are answered from an older one.
type seenRevision struct {
	mu   sync.Mutex
	seen clusterRevision
}

// highest returns the highest revision seen so far.
func (s *seenRevision) highest() clusterRevision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen
}

// observe records the revision of an answer. It reports false, and records nothing, if that revision is lower than the
// highest one seen before the call, which the caller passes as the argument before. A cluster that was restored from a
// backup has a new ID, and its revisions are not compared with earlier ones.
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
