package beryletcd_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylcontract"
	"berylroad.example/berylroad/internal/beryletcd"
	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/berylstore"
)

// TestStore holds the client to the contract of all stores.
func TestStore(t *testing.T) {
	berylcontract.Store(t, func(t *testing.T) (berylcontract.Backing, berylstore.Store) {
		fake, err := berylfake.StartPlatform("127.0.0.1:0")
		is.New(t).NoErr(err)
		t.Cleanup(fake.Close)
		other := newClient(t, longTimeout, fake.URL())
		return &gateway{Platform: fake, Store: beryletcd.NewStore(other), t: t, client: other},
			beryletcd.NewStore(newClient(t, longTimeout, fake.URL()))
	})
}

// gateway is the stand-in of the gateway as the contract scripts it; its own calls are made while there is no fault.
type gateway struct {
	*berylfake.Platform
	*beryletcd.Store
	t      *testing.T
	client *beryletcd.Client
}

// Fail puts the gateway's form of the fault in force.
func (g *gateway) Fail(fault berylfake.StoreFault) {
	is.New(g.t).NoErr(g.SetFault(map[berylfake.StoreFault]berylfake.Fault{
		berylfake.StoreWell:        {},
		berylfake.StoreRefuses:     {Mode: berylfake.ModeRefuse},
		berylfake.StoreLosesAnswer: {LoseAnswers: -1, CutReads: true},
		berylfake.StoreLosesCall:   {CutWrites: -1, CutReads: true},
		berylfake.StoreActsLate:    {LateWrites: -1, CutReads: true},
	}[fault]))
}

// Revoke ends a lease.
func (g *gateway) Revoke(lease int64) {
	is.New(g.t).Equal(g.client.Revoke(g.t.Context(), lease).Status, beryletcd.Done)
}

// Freeze has nothing to do: no listing is stale here.
func (g *gateway) Freeze() {}

// Compact drops the history.
func (g *gateway) Compact() {
	is.New(g.t).NoErr(g.SetFault(berylfake.Fault{Compact: true}))
}

// TestWatchOfSilentStore waits no longer than asked for, and goes on where it was.
func TestWatchOfSilentStore(t *testing.T) {
	is := is.New(t)
	fake, err := berylfake.StartPlatform("127.0.0.1:0")
	is.NoErr(err)
	defer fake.Close()
	s := beryletcd.NewStore(newClient(t, longTimeout, fake.URL()))
	made := s.Commit(t.Context(), berylstore.Txn{Puts: []berylstore.Put{{Key: "a/1", Value: []byte("v")}, {Key: "b/1", Value: []byte("v")}}})
	is.Equal(made.Status, berylstore.Done)
	started := time.Now()
	events, asOf, err := s.Watch(t.Context(), "c/", made.Revision, 50*time.Millisecond)
	is.NoErr(err)
	is.Equal(len(events), 0)
	is.Equal(asOf, made.Revision)
	is.True(time.Since(started) < longTimeout/2) // nothing but the wait itself ends the watch
	events, _, err = s.Watch(t.Context(), "a/", made.Revision-1, 2*time.Second)
	is.NoErr(err)
	is.Equal(len(events), 1) // of the keys that were written together, those under the prefix
}
