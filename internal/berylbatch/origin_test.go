package berylbatch

import (
	"testing"
	"testing/synctest"
	"time"

	"berylroad.example/berylroad/internal/berylroute"
)

// moveRoute makes the cluster's route lead to the given services, and its upstream serve the given one.
func (cluster *testCluster) moveRoute(upstreamService string, shares ...berylroute.Share) {
	cluster.upstreams.Put(berylroute.Upstream{ID: "u", Service: upstreamService, Address: "10.0.0.1:1", Slots: 1})
	cluster.installRoute(berylroute.Route{CompletionTarget: 18 * time.Second, Retention: time.Minute, MaxAttempts: 3, Shares: shares})
}

// Guards against the text of an item being joined from two services after its route has moved to another one.
func TestItemWhoseRouteHasMovedStartsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, cluster := setUp(t, 1)
		a, _ := cluster.startHost(ctx, "a", 1)
		time.Sleep(time.Millisecond)
		is.Equal(a.Submit(ctx, cluster.submission("j", 1)), nil)
		time.Sleep(105 * time.Millisecond)
		cluster.moveRoute("other", berylroute.Share{Service: "other", Weight: 1})
		cluster.yieldAll()
		results := readAll(t, a, "j", 1, 5*time.Second)
		is.Equal(string(results["j-0"].Text), eventText("j-0", 20))
		is.Equal(len(cluster.upstream.resumed["j-0"]), 0)
		is.Equal(cluster.lastTarget(), "other")
	})
}

// Guards against an adopted item going on at the other service of a split route: its previous owner recorded which one began it.
func TestAdoptedItemKeepsItsService(t *testing.T) {
	for name, tt := range map[string]struct {
		shares  []berylroute.Share
		service string
		resumed int
	}{
		"drawn otherwise": {[]berylroute.Share{{Service: "svc", Weight: 1e-9}, {Service: "other", Weight: 1}}, "svc", 1},
		"moved":           {[]berylroute.Share{{Service: "other", Weight: 1}}, "other", 0},
		"weight of zero":  {[]berylroute.Share{{Service: "svc", Weight: 0}, {Service: "other", Weight: 1}}, "other", 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, ctx, cluster := setUp(t, 1)
				cluster.upstream.events = 300
				a, kill := cluster.startHost(ctx, "a", 1)
				time.Sleep(time.Millisecond)
				is.Equal(a.Submit(ctx, cluster.submission("j", 1)), nil)
				time.Sleep(2 * time.Second) // its progress is recorded
				kill()
				cluster.moveRoute(tt.service, tt.shares...)
				b, _ := cluster.startHost(ctx, "b", 1)
				results := readAll(t, b, "j", 1, 20*time.Second)
				is.Equal(string(results["j-0"].Text), eventText("j-0", 300))
				is.Equal(len(cluster.upstream.resumed["j-0"]), tt.resumed)
				is.Equal(cluster.lastTarget(), tt.service)
			})
		})
	}
}

// Guards against text without a service, as older hosts recorded it, going on anywhere.
func TestProgressWithoutAServiceIsNotUsed(t *testing.T) {
	route := berylroute.Route{Shares: []berylroute.Share{{Service: "svc", Weight: 1}}}
	j := &job{items: []*item{{Item: &Item{ID: "i"}}}}
	j.restoreProgress([]itemProgress{{Item: "i", Events: 12, Last: 12, Text: []byte("old")}})
	if service := j.items[0].service(&route); service != "svc" || j.items[0].events != 0 {
		t.Errorf("the item goes on at %s after %d events; want it to start anew", service, j.items[0].events)
	}
}
