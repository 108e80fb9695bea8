package berylbatch

import (
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylroute"
	"berylroad.example/berylroad/internal/berylstore"
)

// knowledge is what one host knows at one moment. Version 1 has no route; version 4 has the route, version 7 has it with a shorter
// retention and one attempt, and version 10 lacks it again.
type knowledge struct {
	version int64 // of the configuration that the host has; zero means none
	through int64 // revision up to which it has seen what the operators wrote
	stale   bool  // nothing was heard of the store for long
	inUse   int64 // latest version under which another host is known to have accepted a job
}

func (k knowledge) copy() berylroute.Copy {
	routes := &berylroute.CurrentConfig{State: func() berylroute.CopyState { return berylroute.CopyState{Through: k.through, Stale: k.stale} }}
	switch k.version {
	case 0:
	case 1, 10:
		routes.Install(&berylroute.Config{Version: k.version})
	case 4:
		routes.Install(&berylroute.Config{Version: 4, Routes: []berylroute.Route{batchRoute(time.Minute, 3)}})
	case 7:
		routes.Install(&berylroute.Config{Version: 7, Routes: []berylroute.Route{batchRoute(30*time.Second, 1)}})
	}
	routes.RecordUse(berylroute.Acceptance{Version: k.inUse, Revision: 100 * k.inUse})
	return routes.Copy()
}

// Guards against items that are given up, or run, by a configuration that may be older than the one that their job was accepted
// under. In each row the host's knowledge grows from step to step.
func TestDecisionInEachOrderOfKnowledge(t *testing.T) {
	start := time.Unix(1000, 0)
	type step struct {
		knows knowledge
		after time.Duration // since the submission
		want  itemDecision
	}
	for _, tt := range []struct {
		name         string
		version      int64 // that the job was accepted under; zero means by an older build
		revision     int64 // of the job's record; versions are written at a hundred times their number
		serverErrors int
		steps        []step
	}{
		{"the job before any configuration", 4, 401, 0, []step{{knowledge{}, 0, holdItem}, {knowledge{version: 4, through: 400}, 0, runItem}}},
		{"the job before its route", 4, 401, 0, []step{{knowledge{version: 1, through: 399}, 0, holdItem}, {knowledge{version: 4, through: 400}, 0, runItem}}},
		{"the job before its route, at a host that hears nothing", 4, 401, 0, []step{
			{knowledge{version: 1, through: 100, stale: true}, time.Hour, holdItem}, {knowledge{version: 4, through: 400, stale: true}, 0, runItem},
		}},
		{"the route before the job", 4, 401, 0, []step{{knowledge{version: 4, through: 400}, 0, runItem}}},
		{"the job, then its removal", 4, 401, 0, []step{{knowledge{version: 1, through: 399}, 0, holdItem}, {knowledge{version: 10, through: 1000}, 0, abandonItem}}},
		{"the route, then its removal", 4, 401, 0, []step{{knowledge{version: 4, through: 400}, 0, runItem}, {knowledge{version: 10, through: 1000}, 0, abandonItem}}},
		{"a removal that may have been undone", 4, 401, 0, []step{
			{knowledge{version: 10, through: 1000, stale: true}, 0, holdItem}, {knowledge{version: 10, through: 1000, inUse: 13}, 0, holdItem},
			{knowledge{version: 10, through: 1400, inUse: 13}, 0, abandonItem},
		}},
		{"the route is back before the job", 13, 1301, 0, []step{{knowledge{version: 10, through: 1000}, 0, holdItem}}},
		{"a longer retention later", 4, 401, 0, []step{
			{knowledge{version: 7, through: 700, stale: true}, 40 * time.Second, holdItem}, {knowledge{version: 7, through: 700}, 40 * time.Second, abandonItem},
		}},
		{"a longer retention before the job", 10, 1001, 0, []step{{knowledge{version: 7, through: 700}, 40 * time.Second, holdItem}}},
		{"the retention is over", 4, 401, 0, []step{{knowledge{version: 4, through: 400}, 61 * time.Second, runItem}, {knowledge{version: 4, through: 400}, 62 * time.Second, abandonItem}}},
		{"fewer attempts than those in force", 10, 1001, 1, []step{{knowledge{version: 7, through: 700}, 0, holdItem}}},
		{"fewer attempts, at a host that hears nothing", 4, 401, 1, []step{{knowledge{version: 7, through: 700, stale: true}, 0, holdItem}, {knowledge{version: 7, through: 700}, 0, abandonItem}}},
		{"attempts used up", 4, 401, 3, []step{{knowledge{version: 4, through: 400}, 0, abandonItem}}},
		{"accepted by an older build, before its route", 0, 401, 0, []step{{knowledge{version: 1, through: 399}, 0, holdItem}, {knowledge{version: 4, through: 401}, 0, runItem}}},
		{"accepted by an older build, a removed route", 0, 401, 0, []step{{knowledge{version: 10, through: 1000}, 0, abandonItem}}},
		{"accepted by an older build, a version that can't be read", 0, 701, 0, []step{{knowledge{version: 1, through: 699}, time.Hour, holdItem}}},
		{"versions that begin anew", 40, 4001, 0, []step{{knowledge{version: 1, through: 4000}, 0, holdItem}, {knowledge{version: 1, through: 4001}, 0, abandonItem}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			j := &job{record: Record{Host: "h", Path: "/jobs/x", Route: "r", ConfigVersion: tt.version}, revision: tt.revision}
			for _, s := range tt.steps {
				config := s.knows.copy()
				state := itemState{accepted: j.acceptance(), submitted: start, serverErrors: tt.serverErrors}
				is.Equal(decideItem(state, config, routeIn(config.Config, j), start.Add(s.after)), s.want)
			}
		})
	}
}

// Guards against items that are lost for good because the host that adopts, or begins anew with, their job has not learned of its
// route yet: the host gives up an accepted item whose route is in force.
func TestJobsAtHostsThatLearnOfTheirRouteLate(t *testing.T) {
	const late = 6 * time.Second
	for _, tt := range []struct {
		name string
		// owner is the host that the record names when host b starts, which has no route for the job until late.
		owner string
		// older is set if a build without versions in its records has accepted the job.
		older bool
	}{
		{"given back by a host that stops", "", false},
		{"of a lost host", "a", false},
		{"of an earlier run of the host", "b", false},
		{"given back by an older build", "", true},
		{"of an older build that is lost", "a", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, ctx, cluster := setUp(t, 1)
				through := int64(0)
				behind := &berylroute.CurrentConfig{State: func() berylroute.CopyState { return berylroute.CopyState{Through: through} }}
				behind.Install(&berylroute.Config{Version: 1})
				cluster.ownRoutes = map[string]*berylroute.CurrentConfig{"b": behind}
				a, kill := cluster.startHost(ctx, "a", 1)
				a.mu.Lock()
				a.stopping = true // it accepts the job without an owner and runs nothing
				a.mu.Unlock()
				time.Sleep(time.Millisecond)
				submission := cluster.submission("j", 3)
				if !tt.older {
					submission.ConfigVersion = 4
				}
				is.Equal(a.Submit(ctx, submission), nil)
				kill()
				changeOwner(t, cluster, tt.owner)
				b, _ := cluster.startHost(ctx, "b", 2)
				time.Sleep(late)
				is.Equal(len(readResults(t, b, "j")), 0)
				behind.Install(&berylroute.Config{Version: 4, Routes: []berylroute.Route{batchRoute(time.Minute, 3)}})
				through = 1 << 40
				for _, r := range readAll(t, b, "j", 3, 10*time.Second) {
					is.Equal(r.State, Completed)
				}
			})
		})
	}
}

// changeOwner makes a host the owner of job j, as if an earlier run of it had accepted the job.
func changeOwner(t *testing.T, cluster *testCluster, host string) {
	t.Helper()
	item, found, err := cluster.store.Get(t.Context(), recordKey("j"))
	record, decodeErr := decode[Record](item.Value)
	if err != nil || !found || decodeErr != nil {
		t.Fatal("the job has no record")
	}
	record.Owner, record.Boot = host, 1
	cluster.store.Commit(t.Context(), berylstore.Txn{Puts: []berylstore.Put{{Key: item.Key, Value: encode(&record)}}})
}

// Guards against an item that is given up after fewer failures than its route allows, because the host counts by an older version.
func TestFailuresCountByTheRouteOfTheJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, cluster := setUp(t, 1)
		stale := true
		routes := &berylroute.CurrentConfig{State: func() berylroute.CopyState { return berylroute.CopyState{Through: 1 << 40, Stale: stale} }}
		routes.Install(&berylroute.Config{Version: 1, Routes: []berylroute.Route{batchRoute(time.Minute, 1)}})
		cluster.ownRoutes = map[string]*berylroute.CurrentConfig{"a": routes}
		failures := 2
		cluster.upstream.status = func(string) int {
			if failures--; failures >= 0 {
				return http.StatusInternalServerError
			}
			return http.StatusOK
		}
		a, _ := cluster.startHost(ctx, "a", 1)
		time.Sleep(time.Millisecond)
		submission := cluster.submission("j", 1)
		submission.ConfigVersion = 1
		is.Equal(a.Submit(ctx, submission), nil)
		time.Sleep(5 * time.Second)
		is.Equal(len(readResults(t, a, "j")), 0)
		is.Equal(cluster.upstream.callsOf("j-0"), 1) // by what the host knows, the item may not run again either
		routes.Install(&berylroute.Config{Version: 4, Routes: []berylroute.Route{batchRoute(time.Minute, 3)}})
		stale = false
		is.Equal(readAll(t, a, "j", 1, 10*time.Second)["j-0"].State, Completed)
	})
}

// readResults returns the committed results that a host knows, without waiting.
func readResults(t *testing.T, m *Manager, id string) []Result {
	t.Helper()
	page, refusal := m.Read(t.Context(), "", id, 0, 0)
	if refusal != nil {
		t.Fatalf("read: %d", refusal.Status)
	}
	return slices.Clone(page.Results)
}
