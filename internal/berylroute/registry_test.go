package berylroute_test

import (
	"io"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylroute"
)

func newRegistry(ids ...string) *berylroute.Registry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := &berylroute.Registry{Log: log}
	for _, id := range ids {
		r.Put(upstream(id))
	}
	return r
}

func upstream(id string) berylroute.Upstream {
	return berylroute.Upstream{ID: id, Service: "s", Address: "10.0.0.1:80", FailureDomain: "z", Slots: 8}
}

func upstreams(ids ...string) []berylroute.Upstream {
	var all []berylroute.Upstream
	for _, id := range ids {
		all = append(all, upstream(id))
	}
	return all
}

// TestLapsedAnnouncements checks that an upstream whose announcement lapsed while the store was unavailable is dropped
// unless it announces itself again within about two seconds of the store's return.
func TestLapsedAnnouncements(t *testing.T) {
	start := time.Unix(1000, 0)
	leaving := upstream("b")
	leaving.Leaving = true
	for _, tt := range []struct {
		name string
		// regained is when the store became available again; zero means that it was never unavailable.
		regained time.Time
		// then runs after b's announcement disappeared at the start; want is what is known after the wait.
		then func(r *berylroute.Registry)
		wait time.Duration
		want []string
	}{
		{"calm: gone at once", time.Time{}, nil, 0, []string{"a"}},
		{"outage long ago: gone at once", start.Add(-time.Minute), nil, 0, []string{"a"}},
		{"outage: kept", start, nil, 2 * time.Second, []string{"a", "b"}},
		{"outage: gone after the grace", start, nil, 2300 * time.Millisecond, []string{"a"}},
		{"outage: back in time", start, func(r *berylroute.Registry) { r.Put(upstream("b")) }, 10 * time.Second, []string{"a", "b"}},
		{"outage: back, then gone", start, func(r *berylroute.Registry) {
			r.Put(upstream("b"))
			r.Remove(start.Add(5*time.Second), start, "b")
		}, 0, []string{"a"}},
		{"outage: known to leave, gone at once", start, func(r *berylroute.Registry) {
			r.Put(leaving)
			r.Remove(start, start, "b")
		}, 0, []string{"a"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newRegistry("a", "b")
			r.ReplaceAll(start, tt.regained, upstreams("a"))
			if tt.then != nil {
				tt.then(r)
			}
			r.ExpireLapsed(start.Add(tt.wait))
			is.Equal(r.IDs(), tt.want)
		})
	}
}

func TestLeaving(t *testing.T) {
	is := is.New(t)
	r := newRegistry("a", "b")
	changed := r.Changed()
	u := upstream("b")
	u.Leaving = true
	r.Put(u)
	<-changed
	is.Equal(r.LeavingIDs("s"), []string{"b"})
	is.Equal(len(r.LeavingIDs("other")), 0)
	now := time.Now()
	again := r.Changed()
	r.Put(u)
	r.ReplaceAll(now, time.Time{}, []berylroute.Upstream{upstream("a"), u})
	r.ExpireLapsed(now)
	select {
	case <-again:
		t.Fatal("an announcement that changes nothing is reported as a change")
	default:
	}
	u.StartedAtMillis++
	r.Put(u)
	<-again
	again = r.Changed()
	r.Remove(now, time.Time{}, "b")
	<-again
}

func TestChangesAreAppliedTogether(t *testing.T) {
	is := is.New(t)
	r := newRegistry("a", "b")
	changed := r.Changed()
	r.Apply(time.Now(), time.Time{}, []berylroute.Change{{Upstream: upstream("c")}, {Upstream: upstream("a"), Removed: true}, {Upstream: upstream("a")}, {Upstream: upstream("b"), Removed: true}})
	<-changed
	is.Equal(r.IDs(), []string{"a", "c"})
}

func TestInstallIgnoresOlderVersions(t *testing.T) {
	is := is.New(t)
	var c berylroute.CurrentConfig
	is.Equal(c.Get(), nil)
	for _, v := range []int64{3, 7, 5, 7, 9, 1} {
		c.Install(&berylroute.Config{Version: v})
	}
	is.Equal(c.Get().Version, int64(9))
}

func TestShares(t *testing.T) {
	is := is.New(t)
	r := berylroute.Route{Shares: []berylroute.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := map[string]int{}
	var ids []string
	for i := range 10_000 {
		id := time.Duration(i).String()
		ids = append(ids, r.Service(id))
		counts[r.Service(id)]++
	}
	is.True(counts["b"] > 800 && counts["b"] < 1200) // a tenth of the weight: 1,000 are expected, and 200 is more than four standard deviations
	is.True(!slices.Contains(ids, ""))
	is.Equal((&berylroute.Route{}).Service("x"), "")
}
