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
			r.MarkLeaving(start, "b", 6, false)
			r.Put(run(6))
		}, true},
		{"a later run", func(r *berylroute.Registry) { r.Put(run(6)) }, false},
		{"a later run, of which an answer to an earlier one arrives", func(r *berylroute.Registry) {
			r.Put(run(6))
			r.MarkLeaving(start, "b", 5, false)
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
			r.MarkLeaving(start, "b", 5, false)
			<-changed
			r.MarkLeaving(start, "b", 5, false)
			tt.then(r)
			u, _ := r.Get("b")
			is.Equal(u.Leaving, tt.want)
			is.Equal(len(r.LeavingIDs("s")) == 1, tt.want)
			_, begins := r.VersionSlots("s")["v2"]
			is.Equal(begins, !tt.want) // no stream begins at a version whose upstreams all leave
		})
	}
}

// Guards against requests to a run that has said that it leaves before its announcement arrived, so that the answer was taken for
// the run before, and against a later run being kept out for ever.
func TestAnswersOfRunsThatAreNotKnownYet(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tt := range []struct {
		name    string
		born    int64 // when the run that is announced after the answer started, in milliseconds of Unix time
		then    func(r *berylroute.Registry)
		after   time.Duration
		leaving bool
	}{
		{"started before the answer", 999_000, nil, 29 * time.Second, true},
		{"started before the answer, announced again", 999_000, func(r *berylroute.Registry) {
			u := run(999_000)
			u.Slots++
			r.Put(u)
		}, 29 * time.Second, true},
		{"has not said it again", 999_000, nil, 31 * time.Second, false},
		{"has not said it again, announced again", 999_000, func(r *berylroute.Registry) {
			r.ExpireLapsed(start.Add(31 * time.Second))
			r.Put(run(999_000))
		}, 32 * time.Second, false},
		{"has said it again", 999_000, func(r *berylroute.Registry) { r.MarkLeaving(start, "b", 999_000, true) }, time.Minute, true},
		{"another run is reported meanwhile", 999_000, func(r *berylroute.Registry) { r.MarkLeaving(start, "b", 6, false) }, 31 * time.Second, false},
		{"is announced to leave", 999_000, func(r *berylroute.Registry) {
			u := run(999_000)
			u.Leaving = true
			r.Put(u)
		}, time.Minute, true},
		{"started before the answer by a clock that is 2 s ahead", 1_001_000, nil, 29 * time.Second, true},
		{"started before the answer, received after this host's clock stepped back", 1_004_000, nil, 29 * time.Second, true},
		{"started after the answer", 1_005_001, nil, 0, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newRegistry("a")
			r.Put(run(5))
			r.MarkLeaving(start, "b", 5, true)
			r.Apply(start, time.Time{}, []berylroute.Change{{Upstream: run(tt.born)}})
			if tt.then != nil {
				tt.then(r)
			}
			r.ExpireLapsed(start.Add(tt.after))
			u, _ := r.Get("b")
			is.Equal(u.Leaving, tt.leaving)
			is.Equal(len(r.LeavingIDs("s")) == 1, tt.leaving)
		})
	}
}

// Guards against memory that grows without bound with runs that have left, and against forgetting one that is still there.
func TestDepartedRunsAreForgotten(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	r := newRegistry("a")
	r.Put(run(5))
	r.MarkLeaving(start, "b", 5, false)
	for i := range 5000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		if i%100 == 0 {
			r.ExpireLapsed(now)
		}
		r.MarkLeaving(now, fmt.Sprint("gone-", i), 1, false)
	}
	u, _ := r.Get("b")
	is.True(u.Leaving)
	r.Put(run(5))
	u, _ = r.Get("b")
	is.True(u.Leaving)
	is.True(berylroute.DepartingRuns(r) <= 4096)
}
