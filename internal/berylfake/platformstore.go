package berylfake

import (
	"sort"
	"sync"
	"time"
)

// maxPlatformHistory is the number of changes in the log above which the store drops the older half by itself.
const maxPlatformHistory = 20_000

// platformVersion is the state of a key after one write or deletion.
type platformVersion struct {
	key     string
	value   []byte
	create  int64
	mod     int64
	version int64
	lease   int64
	deleted bool
}

// platformLease is a lease and the keys attached to it.
type platformLease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

// platformStore is an in-memory key-value store with revisions and leases.
type platformStore struct {
	mu        sync.Mutex
	revision  int64
	compacted int64
	history   map[string][]platformVersion
	log       []platformVersion
	leases    map[int64]*platformLease
	lastLease int64
	changed   chan struct{}
}

// newPlatformStore returns an empty store at revision 1, the first revision of a new etcd cluster.
func newPlatformStore() *platformStore {
	return &platformStore{
		revision: 1,
		history:  map[string][]platformVersion{},
		leases:   map[int64]*platformLease{},
		changed:  make(chan struct{}),
	}
}

// versionAt returns the state of a key at a revision, and false if the key does not exist there.
func (s *platformStore) versionAt(key string, revision int64) (platformVersion, bool) {
	versions := s.history[key]
	i := sort.Search(len(versions), func(i int) bool { return versions[i].mod > revision })
	if i == 0 || versions[i-1].deleted {
		return platformVersion{}, false
	}
	return versions[i-1], true
}

// inRange reports whether key lies in the range of an etcd request: only start if end is empty, all keys from start on if
// end is a zero byte, otherwise the keys from start up to but not including end.
func inRange(key, start, end string) bool {
	switch end {
	case "":
		return key == start
	case "\x00":
		return key >= start
	default:
		return key >= start && key < end
	}
}

// scan returns the keys of a range at a revision, sorted by key.
func (s *platformStore) scan(start, end string, revision int64) []platformVersion {
	if end == "" {
		if v, ok := s.versionAt(start, revision); ok {
			return []platformVersion{v}
		}
		return nil
	}
	var found []platformVersion
	for key := range s.history {
		if !inRange(key, start, end) {
			continue
		}
		if v, ok := s.versionAt(key, revision); ok {
			found = append(found, v)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].key < found[j].key })
	return found
}

// put writes a key at the revision and attaches it to the lease.
func (s *platformStore) put(key string, value []byte, lease, revision int64) {
	next := platformVersion{key: key, value: value, create: revision, mod: revision, version: 1, lease: lease}
	if old, ok := s.versionAt(key, revision); ok {
		next.create, next.version = old.create, old.version+1
		s.detach(old)
	}
	if l := s.leases[lease]; l != nil {
		l.keys[key] = true
	}
	s.record(next)
}

// remove deletes the keys of a range at the revision and returns their number.
func (s *platformStore) remove(start, end string, revision int64) int {
	found := s.scan(start, end, revision)
	for _, v := range found {
		s.detach(v)
		s.record(platformVersion{key: v.key, mod: revision, deleted: true})
	}
	return len(found)
}

// detach removes a key from its lease.
func (s *platformStore) detach(v platformVersion) {
	if l := s.leases[v.lease]; l != nil {
		delete(l.keys, v.key)
	}
}

// record appends a version to the history and wakes the watches.
func (s *platformStore) record(v platformVersion) {
	s.revision = v.mod
	s.history[v.key] = append(s.history[v.key], v)
	s.log = append(s.log, v)
	close(s.changed)
	s.changed = make(chan struct{})
	if len(s.log) > maxPlatformHistory {
		s.compactTo(s.log[len(s.log)/2].mod)
	}
}

// compactTo drops the history up to the revision, except for the versions that are still current at it.
func (s *platformStore) compactTo(revision int64) {
	s.compacted = revision
	keep := sort.Search(len(s.log), func(i int) bool { return s.log[i].mod > revision })
	s.log = append([]platformVersion(nil), s.log[keep:]...)
	for key, versions := range s.history {
		i := sort.Search(len(versions), func(i int) bool { return versions[i].mod > revision })
		if i > 0 && !versions[i-1].deleted {
			i--
		}
		if i == len(versions) {
			delete(s.history, key)
			continue
		}
		s.history[key] = append([]platformVersion(nil), versions[i:]...)
	}
}

// compactAll drops the history up to the present revision.
func (s *platformStore) compactAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactTo(s.revision)
}

// expireLeases ends the leases that have expired.
func (s *platformStore) expireLeases(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id, l)
		}
	}
}

// endLease removes a lease and deletes its keys in one revision.
func (s *platformStore) endLease(id int64, l *platformLease) {
	delete(s.leases, id)
	revision := s.revision + 1
	keys := make([]string, 0, len(l.keys))
	for key := range l.keys {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		s.remove(key, "", revision)
	}
}

// changesSince returns the changes of a range from a revision on, the revision from which the next call should continue, and
// a channel that is closed at the next change. If the revision has been compacted, ok is false and next is the compacted revision.
func (s *platformStore) changesSince(start, end string, from int64) (found []platformVersion, next int64, changed <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from <= s.compacted {
		return nil, s.compacted, nil, false
	}
	i := sort.Search(len(s.log), func(i int) bool { return s.log[i].mod >= from })
	for _, v := range s.log[i:] {
		if inRange(v.key, start, end) {
			found = append(found, v)
		}
	}
	return found, max(from, s.revision+1), s.changed, true
}
