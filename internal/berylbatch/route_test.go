package berylbatch

import (
	"testing"
	"testing/synctest"
	"time"

	"berylroad.example/berylroad/internal/berylroute"
)

// Guards against a job whose route is removed, or covered by another one, being neither run nor given up because its path matches
// a route of another kind.
func TestJobBelongsToTheRouteThatAcceptedIt(t *testing.T) {
	shares := []berylroute.Share{{Service: "svc", Weight: 1}}
	accepted := berylroute.Route{Name: "r", Host: "h", Prefix: "/jobs/", Kind: berylroute.Batch, Shares: shares, CompletionTarget: 18 * time.Second, Retention: time.Minute, MaxAttempts: 3}
	online := berylroute.Route{Name: "online", Host: "h", Prefix: "/", Kind: berylroute.Streaming, Shares: shares}
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
