package berylfake

import (
	"sort"
	"sync"
	"time"
)

// maxPlatformHistory is how many revisions the stand-in remembers before it compacts by itself.
const maxPlatformHistory = 20_000

// platformVersion is one state of a key.
type platformVersion struct {
	key     string
	value   []byte
	create  int64
	mod     int64
	version int64
	lease   int64
	deleted bool
}

// platformLease is a lease with the keys that hang on it.
type platformLease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
}

// platformStore is a key-value store with revisions, held in memory.
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

// newPlatformStore returns an empty store at revision 1, as a new cluster has.
func newPlatformStore() *platformStore {
	return &platformStore{
		revision: 1,
		history:  map[string][]platformVersion{},
		leases:   map[int64]*platformLease{},
		changed:  make(chan struct{}),
	}
}

// versionAt returns the key's state versionAt a revision.
func (s *platformStore) versionAt(key string, revision int64) (platformVersion, bool) {
	versions := s.history[key]
	i := sort.Search(len(versions), func(i int) bool { return versions[i].mod > revision })
	if i == 0 || versions[i-1].deleted {
		return platformVersion{}, false
	}
	return versions[i-1], true
}

// inRange reports whether key is the one key, or lies from start up to end.
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

// scan returns the keys of a range at a revision, in order.
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

// put writes a key at the revision.
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

// remove deletes the keys of a range at the revision and returns how many there were.
func (s *platformStore) remove(start, end string, revision int64) int {
	found := s.scan(start, end, revision)
	for _, v := range found {
		s.detach(v)
		s.record(platformVersion{key: v.key, mod: revision, deleted: true})
	}
	return len(found)
}

// detach takes a key off its lease.
func (s *platformStore) detach(v platformVersion) {
	if l := s.leases[v.lease]; l != nil {
		delete(l.keys, v.key)
	}
}

// record keeps a state and tells watches.
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

// compactTo drops the history up to the revision, but for the states still in force.
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

// compactAll forgets the history up to the present revision.
func (s *platformStore) compactAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactTo(s.revision)
}

// expireLeases ends the leases whose time is over.
func (s *platformStore) expireLeases(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id, l)
		}
	}
}

// endLease removes a lease and its keys in one revision.
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

// changesSince returns the changes of a range from a revision on, the next revision to ask from, and a channel that is closed
// at the next change; ok is false when the revision was compacted.
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
