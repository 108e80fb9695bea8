package berylbatch

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"berylroad.example/berylroad/internal/berylroute"
)

// Guards against a job whose route is removed, or covered by another one, being neither run nor given up because its path matches
// a route of another kind.
func TestJobBelongsToTheRouteThatAcceptedIt(t *testing.T) {
	accepted := batchRoute(time.Minute, 3)
	online := berylroute.Route{Name: "online", Host: "h", Prefix: "/", Kind: berylroute.Streaming, Shares: accepted.Shares}
	longer, renamed, elsewhere, changed, shorter := online, accepted, accepted, accepted, accepted
	longer.Prefix = "/jobs/j"
	renamed.Name = "r-2"
	elsewhere.Host, elsewhere.Prefix = "other", "/batch/"
	changed.Kind = berylroute.Streaming
	shorter.Name, shorter.Prefix = "all", "/"
	for _, tt := range []struct {
		name   string
		routes []berylroute.Route
		want   State
	}{
		{"removed beside a shorter online route", []berylroute.Route{online}, Abandoned},
		{"removed", nil, Abandoned},
		{"of another kind now", []berylroute.Route{changed}, Abandoned},
		{"covered by a longer online route", []berylroute.Route{accepted, longer}, Completed},
		{"renamed", []berylroute.Route{renamed, online}, Completed},
		{"at another host and prefix", []berylroute.Route{elsewhere, online}, Completed},
		{"removed beside a shorter batch route", []berylroute.Route{shorter}, Completed},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, ctx, cluster := setUp(t, 1)
				a, _ := cluster.startHost(ctx, "a", 1)
				time.Sleep(time.Millisecond)
				is.Equal(a.Submit(ctx, cluster.submission("j", 3)), nil)
				time.Sleep(105 * time.Millisecond) // the first item runs, the others wait
				cluster.routes.Install(&berylroute.Config{Version: cluster.routes.Get().Version + 1, Routes: tt.routes})
				results := readAll(t, a, "j", 3, 10*time.Second)
				is.Equal(results["j-0"].State, Completed)
				is.Equal(results["j-2"].State, tt.want)
			})
		})
	}
}

// Guards against more waiting tokens than a route allows, because the jobs that it had accepted under another name are not counted.
func TestWaitingTokensCountForTheRouteThatRunsTheJob(t *testing.T) {
	accepted := batchRoute(time.Minute, 3)
	accepted.MaxWaitingTokens = 100
	renamed, shorter, unlike := accepted, accepted, accepted
	renamed.Name = "r-2"
	shorter.Name, shorter.Prefix = "all", "/"
	unlike.Name, unlike.Prefix = "other", "/other/"
	for _, tt := range []struct {
		name   string
		routes []berylroute.Route
		at     int // the route that gets the second job
		want   bool
	}{
		{"unchanged", []berylroute.Route{accepted}, 0, false},
		{"renamed", []berylroute.Route{renamed}, 0, false},
		{"removed beside a shorter batch route, which runs the job", []berylroute.Route{shorter}, 0, false},
		{"another route", []berylroute.Route{accepted, unlike}, 1, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, ctx, cluster := setUp(t, 1)
				cluster.routes.Install(&berylroute.Config{Version: 2, Routes: []berylroute.Route{accepted}})
				a, _ := cluster.startHost(ctx, "a", 1)
				time.Sleep(time.Millisecond)
				first := cluster.submission("j", 3)
				first.Route = &accepted
				setTokens(first.Items, 60)
				is.Equal(a.Submit(ctx, first), nil)
				cluster.routes.Install(&berylroute.Config{Version: 3, Routes: tt.routes})
				second := cluster.submission("k", 3)
				second.Route = &tt.routes[tt.at]
				setTokens(second.Items, 60)
				is.Equal(a.Submit(ctx, second) == nil, tt.want)
			})
		})
	}
}

// setTokens spreads tokens over items.
func setTokens(items []Item, tokens int64) {
	for i := range items {
		items[i].Tokens = tokens / int64(len(items))
	}
}

// Guards against finished results of a job without a route that are given up because their owner is lost before they are stored: no
// other host may run such items again.
func TestResultsOfAJobWithoutARouteAreStoredSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, cluster := setUp(t, 2)
		a, kill := cluster.startHost(ctx, "a", 1)
		b, _ := cluster.startHost(ctx, "b", 1)
		time.Sleep(time.Millisecond)
		is.Equal(a.Submit(ctx, cluster.submission("j", 4)), nil)
		time.Sleep(105 * time.Millisecond) // two items run for another 95 ms, the others wait
		cluster.routes.Install(&berylroute.Config{Version: cluster.routes.Get().Version + 1})
		time.Sleep(300 * time.Millisecond)
		kill()
		results := readAll(t, b, "j", 4, 20*time.Second)
		completed := 0
		for _, r := range results {
			if r.State == Completed {
				completed++
			}
		}
		is.Equal(completed, 2)
	})
}

// Guards against more waiting tokens than a route allows because jobs come at once at several hosts, each of which counts what it has
// seen.
func TestWaitingTokensOfJobsThatComeAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, cluster := setUp(t, 1)
		limited := *cluster.routes.Get().Named("r")
		limited.MaxWaitingTokens = 100
		cluster.routes.Install(&berylroute.Config{Version: 2, Routes: []berylroute.Route{limited}})
		accepted := int64(0)
		for _, name := range []string{"a", "b", "c"} {
			cluster.startHost(ctx, name, 1)
		}
		time.Sleep(time.Millisecond)
		var group sync.WaitGroup
		var mu sync.Mutex
		for _, name := range []string{"a", "b", "c"} {
			group.Go(func() {
				job := cluster.submission("j-"+name, 3)
				job.Route = &limited
				setTokens(job.Items, 60)
				if cluster.hosts[name].Submit(ctx, job) == nil {
					mu.Lock()
					defer mu.Unlock()
					accepted += 60
				}
			})
		}
		group.Wait()
		is.True(accepted <= 110) // the limit and the tenth by which operators allow it to be passed
	})
}
