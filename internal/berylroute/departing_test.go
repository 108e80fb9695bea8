package berylroute_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylroute"
)

// run returns the announcement of a run of upstream b that started at the given time. It says that the run is ready.
func run(startedAtMillis int64) berylroute.Upstream {
	u := upstream("b")
	u.StartedAtMillis = startedAtMillis
	u.Version = "v2"
	return u
}

// Guards against an upstream that has said in an answer that it leaves getting new work because its announcement says that
// it is ready, is repeated or comes back.
func TestAnswersThatSayLeaving(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tt := range []struct {
		name string
		then func(r *berylroute.Registry)
		want bool
	}{
		{"marked", func(*berylroute.Registry) {}, true},
		{"announced again with other slots", func(r *berylroute.Registry) {
			u := run(5)
			u.Slots++
			r.Put(u)
		}, true},
		{"listed again", func(r *berylroute.Registry) {
			r.ReplaceAll(start, time.Time{}, []berylroute.Upstream{upstream("a"), run(5)})
		}, true},
		{"its announcement lapsed and came back", func(r *berylroute.Registry) {
			r.Remove(start, start, "b")
			r.ExpireLapsed(start.Add(time.Minute))
			r.Put(run(5))
		}, true},
		{"listed for an hour", func(r *berylroute.Registry) {
			for at := time.Duration(0); at < time.Hour; at += time.Minute {
				r.ExpireLapsed(start.Add(at))
			}
			r.Put(run(5))
		}, true},
		{"marked before it was known", func(r *berylroute.Registry) {
			r.MarkLeaving(start, "b", 6)
			r.Put(run(6))
		}, true},
		{"a later run", func(r *berylroute.Registry) { r.Put(run(6)) }, false},
		{"a later run, of which an answer to an earlier one arrives", func(r *berylroute.Registry) {
			r.Put(run(6))
			r.MarkLeaving(start, "b", 5)
		}, false},
		{"gone for longer than the memory", func(r *berylroute.Registry) {
			r.Remove(start, time.Time{}, "b")
			r.ExpireLapsed(start.Add(time.Hour))
			r.Put(run(5))
		}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newRegistry("a")
			r.Put(run(5))
			changed := r.Changed()
			r.MarkLeaving(start, "b", 5)
			<-changed
			r.MarkLeaving(start, "b", 5)
			tt.then(r)
			u, _ := r.Get("b")
			is.Equal(u.Leaving, tt.want)
			is.Equal(len(r.LeavingIDs("s")) == 1, tt.want)
			_, begins := r.VersionSlots("s")["v2"]
			is.Equal(begins, !tt.want) // no stream begins at a version whose upstreams all leave
		})
	}
}

// Guards against memory that grows without bound with runs that have left, and against forgetting one that is still there.
func TestDepartedRunsAreForgotten(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	r := newRegistry("a")
	r.Put(run(5))
	r.MarkLeaving(start, "b", 5)
	for i := range 5000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		if i%100 == 0 {
			r.ExpireLapsed(now)
		}
		r.MarkLeaving(now, fmt.Sprint("gone-", i), 1)
	}
	u, _ := r.Get("b")
	is.True(u.Leaving)
	r.Put(run(5))
	u, _ = r.Get("b")
	is.True(u.Leaving)
	is.True(berylroute.DepartingRuns(r) <= 4096)
}
