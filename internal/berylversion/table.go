package berylversion

import (
	"maps"
	"slices"
	"time"
)

const (
	// settleTime is how long after its first announcement a version begins no streams, so that all hosts whose copy of the
	// announcements is no older than maxCopyAge know of it by then.
	settleTime = 1200 * time.Millisecond
	// maxCopyAge is the age of a host's copy of the announcements from which on it says nothing about other versions.
	maxCopyAge = time.Second
	// settledAge is the age by the time of day from which on a listed version counts as known to all hosts. It allows for
	// clocks that differ by seconds.
	settledAge = 5 * time.Second
	// retention is how long a version that is out of sight stays listed. Callers take streams up within their deadline, so
	// it must be longer than that.
	retention = 15 * time.Second
)

// Listed is a version in the record of a service.
type Listed struct {
	// Version is the software version; it may be empty.
	Version string `cbor:"1,keyasint"`
	// AddedAtMillis is when it was added, in milliseconds of Unix time.
	AddedAtMillis int64 `cbor:"2,keyasint"`
}

// Table holds what one host knows of the versions of all services. Its zero value knows nothing; StartedAt must be set.
type Table struct {
	// StartedAt is when this run of the host began. Of the time before it knows only what is listed.
	StartedAt time.Time

	services map[string]*serviceVersions
}

// serviceVersions are the versions of one service.
type serviceVersions struct {
	sights map[string]*sight
	listed []Listed
}

// sight is when a version was announced, as this host saw it.
type sight struct {
	first, last time.Time
}

func (t *Table) service(name string) *serviceVersions {
	if t.services == nil {
		t.services = make(map[string]*serviceVersions)
	}
	s := t.services[name]
	if s == nil {
		s = &serviceVersions{sights: make(map[string]*sight)}
		t.services[name] = s
	}
	return s
}

// See records which versions of a service are announced now.
func (t *Table) See(now time.Time, service string, announced []string) {
	s := t.service(service)
	for _, version := range announced {
		if seen := s.sights[version]; seen != nil {
			seen.last = now
		} else {
			s.sights[version] = &sight{first: now, last: now}
		}
	}
	maps.DeleteFunc(s.sights, func(_ string, seen *sight) bool { return now.Sub(seen.last) > retention })
}

// Install replaces the record of a service.
func (t *Table) Install(service string, listed []Listed) {
	t.service(service).listed = listed
}

// Services returns the services of which anything is known, sorted.
func (t *Table) Services() []string {
	return slices.Sorted(maps.Keys(t.services))
}

func (s *serviceVersions) find(version string) (Listed, bool) {
	i := slices.IndexFunc(s.listed, func(l Listed) bool { return l.Version == version })
	if i < 0 {
		return Listed{}, false
	}
	return s.listed[i], true
}

// MayBegin reports whether a version may begin streams: it is listed, and all hosts know that it is announced. While the
// store is away no version can be listed, and none appears, so an announced version need not be.
func (t *Table) MayBegin(now time.Time, service, version string, storeAway bool) bool {
	s := t.service(service)
	seen := s.sights[version]
	if seen == nil {
		return false
	}
	settled := now.Sub(seen.first) >= settleTime
	listed, ok := s.find(version)
	if !ok {
		return settled && storeAway
	}
	// No host can take another version for the only one if there never was another.
	only := len(s.listed) == 1 && len(s.sights) == 1
	return settled || only || now.Sub(time.UnixMilli(listed.AddedAtMillis)) >= settledAge
}

// Candidates returns the versions that may have begun a stream which a caller can still take up, sorted. streamAge is the
// longest time from the beginning of a stream until then.
func (t *Table) Candidates(now time.Time, service string, streamAge time.Duration) []string {
	s := t.service(service)
	candidates := make(map[string]bool)
	for version, seen := range s.sights {
		if now.Sub(seen.last) < streamAge {
			candidates[version] = true
		}
	}
	for _, l := range s.listed {
		// Of a listed version that this host has not seen, others may have begun streams before this host started.
		if s.sights[l.Version] == nil && now.Sub(t.StartedAt) < streamAge {
			candidates[l.Version] = true
		}
	}
	return slices.Sorted(maps.Keys(candidates))
}

// Proposal returns the record that a service should have, and false if it is as it should be.
func (t *Table) Proposal(now time.Time, service string) ([]Listed, bool) {
	s := t.service(service)
	var next []Listed
	for _, l := range s.listed {
		if s.sights[l.Version] != nil || now.Sub(t.StartedAt) < retention {
			next = append(next, l)
		}
	}
	for _, version := range slices.Sorted(maps.Keys(s.sights)) {
		if _, ok := s.find(version); !ok && now.Sub(s.sights[version].last) < retention {
			next = append(next, Listed{Version: version, AddedAtMillis: now.UnixMilli()})
		}
	}
	if len(next) == 0 {
		return nil, false // a record is not emptied: its last version says what streams were at before an outage
	}
	return next, !slices.Equal(next, s.listed)
}
