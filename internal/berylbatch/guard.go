package berylbatch

import (
	"cmp"
	"context"
	"net/url"
	"slices"
	"time"

	"berylroad.example/berylroad/internal/berylroute"
	"berylroad.example/berylroad/internal/berylstore"
)

const (
	guardPrefix = "berylroad/waiting/"
	// guardSpan is how long a guard lists an accepted job. Hosts have the job's record within seconds, and their clocks differ by
	// seconds.
	guardSpan = time.Minute
	// maxGuardEntries bounds a guard to about 30 KB; the oldest entries are dropped first. At 8 jobs per second on one key, it is
	// not reached within guardSpan.
	maxGuardEntries = 512
	// maxGuardKeys bounds the guards of one acceptance: the route's own and those of its former names. The store allows 32 entries in
	// a transaction.
	maxGuardKeys = 4
	// maxFormerRoutes bounds the former names that are kept; the oldest are dropped first.
	maxFormerRoutes = 256
	// guardTurnWait is how long a submission waits for another one of this host to the same guard, so that they do not conflict with
	// each other. After that it goes ahead: the check in the store decides.
	guardTurnWait = 300 * time.Millisecond
	// maxGuardStates is the number of guards above which a host forgets those that it has not used for guardSpan.
	maxGuardStates = 4096
)

// guardKey returns the key of the guard of a route and an account. The names are escaped, since they may contain the separator.
func guardKey(route, account string) string {
	return guardPrefix + url.PathEscape(route) + "/" + url.PathEscape(account)
}

// guard is the stored list of the jobs that were accepted on a route for an account within guardSpan. Each acceptance checks and
// rewrites it, so that of two simultaneous ones the second counts the first.
type guard struct {
	Jobs []guardEntry `cbor:"1,keyasint,omitempty"`
}

// guardEntry is one accepted job.
type guardEntry struct {
	// ID identifies the job and Tokens is the sum of its items' tokens.
	ID     string `cbor:"1,keyasint"`
	Tokens int64  `cbor:"2,keyasint"`
	// Accepted is when the job was accepted, in milliseconds of Unix time by the clock of the host that accepted it.
	Accepted int64 `cbor:"3,keyasint"`
	// Owner is the host that owned the job at first, or empty.
	Owner string `cbor:"4,keyasint,omitempty"`
}

// guardState is the last state of a guard that this host knows.
type guardState struct {
	// revision is the guard's revision in the store, or zero if there is no guard.
	revision int64
	jobs     []guardEntry
	used     time.Time
	// turn holds a value while a submission of this host uses the guard.
	turn chan struct{}
	// unreadable is the revision of the guard if its value could not be decoded, and zero otherwise. Such a guard is not overwritten, so
	// its revision is not taken over.
	unreadable int64
}

// guardUse is a guard as one acceptance expects it in the store. Its jobs may be more than the store's: they include the recent jobs
// whose records this host has seen.
type guardUse struct {
	key, route string
	revision   int64
	jobs       []guardEntry
}

// stateOfGuard returns this host's state of a guard; the caller holds mu.
func (m *Manager) stateOfGuard(key string) *guardState {
	state := m.guards[key]
	if state == nil {
		if len(m.guards) >= maxGuardStates {
			for k, s := range m.guards {
				if time.Since(s.used) > guardSpan && len(s.turn) == 0 {
					delete(m.guards, k)
				}
			}
		}
		state = &guardState{turn: make(chan struct{}, 1)}
		m.guards[key] = state
	}
	state.used = time.Now()
	return state
}

// takeGuardTurn waits until no other submission of this host uses the guard, at most for guardTurnWait. It returns the function that
// ends the turn.
func (m *Manager) takeGuardTurn(ctx context.Context, key string) func() {
	m.mu.Lock()
	turn := m.stateOfGuard(key).turn
	m.mu.Unlock()
	timer := time.NewTimer(guardTurnWait)
	defer timer.Stop()
	select {
	case turn <- struct{}{}:
		return func() { <-turn }
	case <-timer.C:
	case <-ctx.Done():
	}
	return func() {}
}

// noteAcceptance records that the follower has delivered a new job's record. An acceptance writes the record and the guard in one
// transaction, so the record's revision is the guard's too, and the jobs accepted before are known already. If the record was written
// by a build without guards, the next check in the store fails and corrects the revision. The caller holds mu.
func (m *Manager) noteAcceptance(j *job) {
	state := m.stateOfGuard(guardKey(j.record.Route, j.record.Account))
	if state.unreadable == 0 {
		state.revision = max(state.revision, j.revision)
	}
}

// guardsFor returns the guards that the acceptance of a job on a route uses. If jobs that were accepted under other names belong to
// the route today, the guards of these names are used too, since hosts with an older configuration still accept under them.
func (m *Manager) guardsFor(route *berylroute.Route, account string) []guardUse {
	m.mu.Lock()
	defer m.mu.Unlock()
	var uses []guardUse
	for _, name := range m.namesOfRoute(route) {
		key := guardKey(name, account)
		state := m.stateOfGuard(key)
		uses = append(uses, guardUse{key: key, route: name, revision: state.revision, jobs: m.mergeGuard(state.jobs, name, account)})
	}
	return uses
}

// namesOfRoute returns the route's name, followed by the names of former routes whose jobs it runs now. The caller holds mu.
func (m *Manager) namesOfRoute(route *berylroute.Route) []string {
	names := []string{route.Name}
	add := func(name string) {
		if len(names) < maxGuardKeys && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	m.observeConfig()
	config := m.Routes.Get()
	for i := range m.formerRoutes {
		former := &m.formerRoutes[i]
		if isBatch(config.Named(former.name)) {
			continue // it has its name again
		}
		if now := config.Match(former.host, former.prefix); isBatch(now) && now.Name == route.Name {
			add(former.name)
		}
	}
	for _, j := range m.jobs {
		if j.record.Route == route.Name || !j.record.Open() || time.Since(j.record.submitted()) > guardSpan {
			continue
		}
		if r := m.routeOf(j); r != nil && r.Name == route.Name {
			add(j.record.Route)
		}
	}
	return names
}

// formerRoute is a batch route whose name was in the configuration until a short time ago.
type formerRoute struct {
	name, host, prefix string
	until              time.Time
}

// observeConfig keeps the batch routes whose names have left the configuration within guardSpan; the caller holds mu.
func (m *Manager) observeConfig() {
	now := time.Now()
	m.formerRoutes = slices.DeleteFunc(m.formerRoutes, func(f formerRoute) bool { return now.Sub(f.until) > guardSpan })
	config, last := m.Routes.Get(), m.lastConfig
	m.lastConfig = config
	if config == last || last == nil {
		return
	}
	for i := range last.Routes {
		if r := &last.Routes[i]; isBatch(r) && !isBatch(config.Named(r.Name)) {
			m.formerRoutes = append(m.formerRoutes, formerRoute{r.Name, r.Host, r.Prefix, now})
		}
	}
	m.formerRoutes = m.formerRoutes[max(len(m.formerRoutes)-maxFormerRoutes, 0):]
}

func isBatch(r *berylroute.Route) bool { return r != nil && r.Kind == berylroute.Batch }

// mergeGuard returns the given entries and those of the recent jobs whose records this host has seen, oldest first. It drops entries
// older than guardSpan. Times in the future, from a host whose clock is ahead, become the present. The caller holds mu.
func (m *Manager) mergeGuard(entries []guardEntry, route, account string) []guardEntry {
	now := time.Now()
	var merged []guardEntry
	listed := make(map[string]bool, len(entries)+1)
	add := func(e guardEntry) {
		e.Accepted = min(e.Accepted, now.UnixMilli())
		if !listed[e.ID] && now.Sub(time.UnixMilli(e.Accepted)) < guardSpan {
			listed[e.ID] = true
			merged = append(merged, e)
		}
	}
	for _, e := range entries {
		add(e)
	}
	for id, j := range m.jobs {
		if j.record.Route == route && j.record.Account == account {
			add(j.record.guardEntry(id))
		}
	}
	slices.SortFunc(merged, func(a, b guardEntry) int {
		return cmp.Or(cmp.Compare(a.Accepted, b.Accepted), cmp.Compare(a.ID, b.ID))
	})
	return merged
}

func (r *Record) guardEntry(id string) guardEntry {
	return guardEntry{ID: id, Tokens: r.Tokens, Accepted: r.Submitted, Owner: r.Owner}
}

// with returns the guard's value with one more job.
func (u *guardUse) with(e guardEntry) guard {
	jobs := append(slices.Clone(u.jobs), e)
	return guard{Jobs: jobs[max(len(jobs)-maxGuardEntries, 0):]}
}

// storeGuards records the guards that an acceptance has written.
func (m *Manager) storeGuards(uses []guardUse, e guardEntry, revision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range uses {
		if state := m.stateOfGuard(uses[i].key); state.revision < revision {
			state.revision, state.jobs = revision, uses[i].with(e).Jobs
		}
	}
}

// learnGuards replaces the expected state of the guards by the store's after a conflict. It returns false if one of them can't be
// decoded.
func (m *Manager) learnGuards(uses []guardUse, account string, current []berylstore.Item) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	readable := true
	for i := range uses {
		u := &uses[i]
		state := m.stateOfGuard(u.key)
		failed := u.revision
		var stored guard
		u.revision = 0
		at := slices.IndexFunc(current, func(item berylstore.Item) bool { return item.Key == u.key })
		if at >= 0 {
			var err error
			if stored, err = decode[guard](current[at].Value); err != nil {
				if state.unreadable != current[at].Revision {
					m.Log.WithError(err).WithField("key", u.key).Error("job: the guard of waiting tokens can't be decoded")
				}
				state.unreadable, readable = current[at].Revision, false
				continue
			}
			u.revision = current[at].Revision
		}
		state.unreadable = 0
		u.jobs = m.mergeGuard(stored.Jobs, u.route, account)
		if state.revision <= max(failed, u.revision) {
			state.revision, state.jobs = u.revision, stored.Jobs
		}
	}
	return readable
}
