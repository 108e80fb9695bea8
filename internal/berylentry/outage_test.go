package berylentry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/berylhost"
	"berylroad.example/berylroad/internal/berylroute"
	"berylroad.example/berylroad/internal/berylstore"
)

// faultyStore is a store on the path to which calls are delayed, watches are cut and all calls are refused or get no answer.
type faultyStore struct {
	*berylfake.MemoryStore
	// cutAfter is how long a watch waits until it is cut; zero means that none is.
	cutAfter time.Duration
	// forgets makes the store drop its history when it cuts a watch.
	forgets bool
	// delay is how long each call takes.
	delay time.Duration
	// outages are the times at which the store is away; nil means none.
	outages *outages
}

// outages are times at which a store refuses calls and cuts watches or, if silent is set, answers neither.
type outages struct {
	from           time.Time
	period, length time.Duration
	silent         bool
}

// outagesFrom returns outages that begin some time from now and then again in each period.
func outagesFrom(in, period, length time.Duration, silent bool) *outages {
	return &outages{from: time.Now().Add(in), period: period, length: length, silent: silent}
}

// untilNext returns the time until the next outage begins; zero or less means that there is one.
func (o *outages) untilNext(now time.Time) time.Duration {
	since := now.Sub(o.from)
	if since < 0 {
		return -since
	}
	if since%o.period < o.length {
		return 0
	}
	return o.period - since%o.period
}

// enter waits for the delay, and returns an error if the store is away.
func (s *faultyStore) enter(ctx context.Context) error {
	select {
	case <-time.After(s.delay):
	case <-ctx.Done():
		return ctx.Err()
	}
	if s.outages == nil || s.outages.untilNext(time.Now()) > 0 {
		return nil
	}
	return s.fail(ctx)
}

// fail ends a call in an outage.
func (s *faultyStore) fail(ctx context.Context) error {
	if !s.outages.silent {
		return berylstore.ErrNotDone
	}
	<-ctx.Done()
	return ctx.Err()
}

var errOutage = errors.New("an outage has begun")

func (s *faultyStore) Watch(ctx context.Context, prefix string, above int64, wait time.Duration) ([]berylstore.Event, int64, error) {
	if err := s.enter(ctx); err != nil {
		return nil, 0, err
	}
	waiting, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if s.cutAfter > 0 {
		defer time.AfterFunc(s.cutAfter, func() { cancel(io.EOF) }).Stop()
	}
	if s.outages != nil {
		defer time.AfterFunc(s.outages.untilNext(time.Now()), func() { cancel(errOutage) }).Stop()
	}
	events, asOf, err := s.MemoryStore.Watch(waiting, prefix, above, wait)
	if err == nil || ctx.Err() != nil {
		return events, asOf, err
	}
	if context.Cause(waiting) == errOutage {
		return nil, 0, s.fail(ctx)
	}
	if s.forgets {
		s.Compact()
	}
	return nil, 0, context.Cause(waiting)
}

func (s *faultyStore) List(ctx context.Context, prefix, after string) (berylstore.Page, error) {
	if err := s.enter(ctx); err != nil {
		return berylstore.Page{}, err
	}
	return s.MemoryStore.List(ctx, prefix, after)
}

func (s *faultyStore) ListStale(ctx context.Context, prefix, after string) (berylstore.Page, error) {
	return s.List(ctx, prefix, after)
}

// TestLostHostsAreNoticed guards against cut watches and outages that make a host take lost hosts for alive without end, so that
// nobody adopts their jobs.
func TestLostHostsAreNoticed(t *testing.T) {
	const (
		outageAt = 5 * time.Second
		end      = 40 * time.Second
		step     = 100 * time.Millisecond
		// regainTime is how long after the return of the store a host regains it at the latest if another one watches for it: that one
		// takes a second, and the answer to a watch that has begun before another one and the wait of the watch.
		regainTime = registrySharedWatchTimeout + 2*time.Second
	)
	cut := func(after time.Duration) func(s *faultyStore) {
		return func(s *faultyStore) { s.cutAfter = after }
	}
	away := func(period, length time.Duration, silent bool) func(s *faultyStore) {
		return func(s *faultyStore) { s.outages = outagesFrom(outageAt, period, length, silent) }
	}
	for _, tt := range []struct {
		name  string
		store func(s *faultyStore)
		// longest is the longest time for which a host may take all others for alive.
		longest time.Duration
		// outage is the length of the only outage, after which each host has to do so; zero if there is none or more than one.
		outage time.Duration
	}{
		{"healthy", cut(0), 0, 0},
		{"cut every 100 ms", cut(100 * time.Millisecond), 0, 0},
		{"cut every 300 ms", cut(300 * time.Millisecond), 0, 0},
		{"cut every second", cut(time.Second), 0, 0},
		{"cut every 1.9 s", cut(1900 * time.Millisecond), 0, 0},
		{"cut every 4 s", cut(4 * time.Second), 0, 0},
		{"cut every 9.9 s", cut(9900 * time.Millisecond), 0, 0},
		{"cut and slow", func(s *faultyStore) { s.cutAfter, s.delay = time.Second, 100*time.Millisecond }, 0, 0},
		{"cut and forgetful", func(s *faultyStore) { s.cutAfter, s.forgets = time.Second, true }, 0, 0},
		{"refuses for 3 s", away(time.Hour, 3*time.Second, false), startupAliveTime, 3 * time.Second},
		{"refuses for 3 s between cuts", func(s *faultyStore) {
			away(time.Hour, 3*time.Second, false)(s)
			s.cutAfter = 1900 * time.Millisecond
		}, startupAliveTime, 3 * time.Second},
		{"refuses for 3 s and forgets", func(s *faultyStore) {
			away(time.Hour, 3*time.Second, false)(s)
			s.cutAfter, s.forgets = 1900*time.Millisecond, true
		}, startupAliveTime, 3 * time.Second},
		{"silent for 12 s", away(time.Hour, 12*time.Second, true), startupAliveTime, 12 * time.Second},
		{"away for half of each second", away(time.Second, 500*time.Millisecond, false), unsteadyAliveTime, 0},
		{"away for a second of three", away(3*time.Second, time.Second, false), unsteadyAliveTime, 0},
		{"silent for three seconds of five", away(5*time.Second, 3*time.Second, true), unsteadyAliveTime, 0},
		{"away for a second of eight", away(8*time.Second, time.Second, false), unsteadyAliveTime, 0},
	} {
		for hosts := 1; hosts <= 6; hosts++ {
			t.Run(fmt.Sprintf("%s, %d hosts", tt.name, hosts), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					store := &faultyStore{MemoryStore: &berylfake.MemoryStore{}}
					tt.store(store)
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					registries := startFleet(ctx, store, hosts)
					start := time.Now()
					distrusted, longest, last := make([]time.Duration, hosts), make([]time.Duration, hosts), make([]time.Duration, hosts)
					for time.Since(start) < end {
						for i, r := range registries {
							if isMembershipTrusted(time.Now(), start.Add(-time.Hour), r.follower.ReconnectedAt(), r.follower.UnsteadySince()) {
								distrusted[i] = 0
								continue
							}
							distrusted[i] += step
							longest[i], last[i] = max(longest[i], distrusted[i]), time.Since(start)
						}
						time.Sleep(step)
					}
					for i := range registries {
						t.Logf("host %d: distrusted for up to %v, last after %v", i, longest[i], last[i])
						is.True(longest[i] <= tt.longest)
						if tt.outage > 0 {
							is.Equal(longest[i], startupAliveTime)
							is.True(last[i] <= outageAt+tt.outage+regainTime+startupAliveTime)
						}
					}
				})
			})
		}
	}
}

// startFleet starts the registries of hosts that watch the store for each other if there are enough of them.
func startFleet(ctx context.Context, store berylstore.Store, hosts int) []*registry {
	var live []berylhost.Member
	for i := range hosts {
		live = append(live, berylhost.Member{Name: fmt.Sprintf("h%d", i), Region: "r", FailureDomain: fmt.Sprintf("d%d", i%3), PeerAddress: "10.0.0.1:1", Boot: 1})
	}
	registries := make(map[string]*registry)
	var list []*registry
	for _, m := range live {
		sharing := &berylstore.WatchSharing{
			Source: func() (string, bool) {
				return chooseWatcher(Settings{Host: m.Name, Region: m.Region, FailureDomain: m.FailureDomain}, live)
			},
			RequestChanges: func(ctx context.Context, host string, request berylstore.WatchRequest) (berylstore.WatchReply, error) {
				replies, err := berylstore.ServeWatches(ctx, []berylstore.WatchRequest{request}, func(string) *berylstore.Follower { return &registries[host].follower })
				if err != nil {
					return berylstore.WatchReply{}, err
				}
				return replies[0], nil
			},
		}
		r := newRegistry(store, m, discardLogger(), sharing, func([]berylhost.Member) {})
		registries[m.Name] = r
		list = append(list, r)
	}
	for _, r := range list {
		go r.run(ctx)
	}
	return list
}

// TestRemovedUpstreamAroundCutsAndOutages guards against requests to an upstream that is gone, because a cut watch was taken for an
// outage, and against the loss of upstreams whose entries lapse in a real one.
func TestRemovedUpstreamAroundCutsAndOutages(t *testing.T) {
	// lapseTime is how long an upstream may be used whose entry has lapsed in an outage: until a host has noticed the return of the
	// store, which takes up to a second, and about two seconds more.
	const lapseTime = 3200 * time.Millisecond
	for _, tt := range []struct {
		name   string
		store  func(s *faultyStore)
		remove time.Duration // from the start
		// kept is how long the upstream is used after its removal or, if that is later, the return of the store at 8 s.
		keptAtLeast, keptAtMost time.Duration
	}{
		{"healthy", func(*faultyStore) {}, 6 * time.Second, 0, 50 * time.Millisecond},
		{"300 ms after a cut", func(s *faultyStore) { s.cutAfter = 1900 * time.Millisecond }, 6 * time.Second, 0, 400 * time.Millisecond},
		{"watches are cut at once", func(s *faultyStore) { s.cutAfter = 100 * time.Millisecond }, 6 * time.Second, 0, 500 * time.Millisecond},
		{"watches are cut and the history is dropped", func(s *faultyStore) { s.cutAfter, s.forgets = time.Second, true }, 6 * time.Second, 0, 500 * time.Millisecond},
		{"in an outage", func(s *faultyStore) { s.outages = outagesFrom(4*time.Second, time.Hour, 4*time.Second, false) }, 6 * time.Second, 1900 * time.Millisecond, lapseTime},
		{"in a silent outage", func(s *faultyStore) { s.outages = outagesFrom(3*time.Second, time.Hour, 5*time.Second, true) }, 6 * time.Second, 1900 * time.Millisecond, lapseTime},
		{"in an outage between cuts", func(s *faultyStore) {
			s.cutAfter, s.outages = 700*time.Millisecond, outagesFrom(4*time.Second, time.Hour, 4*time.Second, false)
		}, 6 * time.Second, 1900 * time.Millisecond, lapseTime},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				store := &faultyStore{MemoryStore: &berylfake.MemoryStore{}}
				tt.store(store)
				announcement, err := json.Marshal(berylroute.Upstream{ID: "u", Service: "s", Slots: 1})
				is.NoErr(err)
				store.Write("servers/u", string(announcement))
				h := New(Config{Store: store, UpstreamPrefix: "servers/", Decoder: benchDecoder{}, Log: discardLogger()})
				h.announcements.Sharing = &berylstore.WatchSharing{Source: func() (string, bool) { return "", false }}
				go h.announcements.Run(ctx)
				go h.expire(ctx)
				start := time.Now()
				isUsed := func() bool { _, known := h.upstreamRegistry.Get("u"); return known }
				time.Sleep(tt.remove)
				is.True(isUsed())
				store.MemoryStore.Commit(ctx, berylstore.Txn{Deletes: []string{"servers/u"}})
				from := time.Now()
				if tt.keptAtLeast > 0 {
					from = start.Add(8 * time.Second)
				}
				for isUsed() && time.Since(from) < time.Minute {
					time.Sleep(10 * time.Millisecond)
				}
				t.Logf("kept for %v", time.Since(from))
				is.True(time.Since(from) >= tt.keptAtLeast)
				is.True(time.Since(from) <= tt.keptAtMost)
			})
		})
	}
}
