package berylbatch

import (
	"testing"
	"testing/synctest"
	"time"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/berylroute"
)

func (cluster *testCluster) putUpstream(id, version string, leaving bool) {
	cluster.upstreams.Put(berylroute.Upstream{ID: id, Service: "svc", Version: version, Address: "10.0.0.1:1", Slots: 1, Leaving: leaving})
}

// Guards against the text of an item being joined from two software versions: the item asks for the version that began it.
func TestItemGoesOnAtItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, cluster := setUp(t, 1)
		cluster.putUpstream("u", "v1", false)
		cluster.putUpstream("other", "v2", false)
		a, _ := cluster.startHost(ctx, "a", 1)
		time.Sleep(time.Millisecond)
		is.Equal(a.Submit(ctx, cluster.submission("j", 1)), nil)
		time.Sleep(105 * time.Millisecond)
		cluster.yieldAll()
		results := readAll(t, a, "j", 1, 5*time.Second)
		is.Equal(string(results["j-0"].Text), eventText("j-0", 20))
		is.Equal(len(cluster.upstream.resumed["j-0"]), 1)
		is.Equal(cluster.lastTarget(), berylconf.VersionTarget("svc", "v1"))
	})
}

// Guards against the text of an item going on at another software version because its own has left: it starts anew.
func TestItemWhoseVersionHasLeftStartsAnew(t *testing.T) {
	for name, change := range map[string]func(cluster *testCluster){
		"replaced": func(cluster *testCluster) { cluster.putUpstream("u", "v2", false) },
		"leaving": func(cluster *testCluster) {
			cluster.putUpstream("old", "v1", true)
			cluster.putUpstream("u", "v2", false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, ctx, cluster := setUp(t, 1)
				cluster.putUpstream("u", "v1", false)
				a, _ := cluster.startHost(ctx, "a", 1)
				time.Sleep(time.Millisecond)
				is.Equal(a.Submit(ctx, cluster.submission("j", 1)), nil)
				time.Sleep(105 * time.Millisecond)
				change(cluster)
				cluster.yieldAll()
				results := readAll(t, a, "j", 1, 5*time.Second)
				is.Equal(string(results["j-0"].Text), eventText("j-0", 20))
				is.Equal(len(cluster.upstream.resumed["j-0"]), 0)
				is.Equal(cluster.upstream.callsOf("j-0"), 2)
			})
		})
	}
}

// Guards against an adopted item going on at a software version other than the one that its previous owner recorded.
func TestAdoptedItemKeepsItsVersion(t *testing.T) {
	for name, tt := range map[string]struct {
		version string
		resumed int
	}{"same version": {"v1", 1}, "another version": {"v2", 0}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, ctx, cluster := setUp(t, 1)
				cluster.putUpstream("u", "v1", false)
				cluster.upstream.events = 300
				a, kill := cluster.startHost(ctx, "a", 1)
				time.Sleep(time.Millisecond)
				is.Equal(a.Submit(ctx, cluster.submission("j", 1)), nil)
				time.Sleep(2 * time.Second) // its progress is recorded
				kill()
				cluster.putUpstream("u", tt.version, false)
				b, _ := cluster.startHost(ctx, "b", 1)
				results := readAll(t, b, "j", 1, 20*time.Second)
				is.Equal(string(results["j-0"].Text), eventText("j-0", 300))
				is.Equal(len(cluster.upstream.resumed["j-0"]), tt.resumed)
			})
		})
	}
}
