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

// TestStore checks the store against the contract of all berylstore.Store implementations.
func TestStore(t *testing.T) {
	berylcontract.RunStoreTests(t, func(t *testing.T) (berylcontract.Backend, berylstore.Store) {
		fake, err := berylfake.StartPlatform("127.0.0.1:0")
		is.New(t).NoErr(err)
		t.Cleanup(fake.Close)
		other := newClient(t, longTimeout, fake.URL())
		return &gateway{Platform: fake, Store: beryletcd.NewStore(other), t: t, client: other},
			beryletcd.NewStore(newClient(t, longTimeout, fake.URL()))
	})
}

// gateway is the fake platform as the contract test controls it. The calls of its Store are made only while no fault is
// set, since a fault applies to every client of the platform.
type gateway struct {
	*berylfake.Platform
	*beryletcd.Store
	t      *testing.T
	client *beryletcd.Client
}

// FailCalls sets the fault of the fake platform that corresponds to the given store fault.
func (g *gateway) FailCalls(fault berylfake.MemoryStoreFault) {
	is.New(g.t).NoErr(g.SetFault(map[berylfake.MemoryStoreFault]berylfake.PlatformFault{
		berylfake.StoreHealthy:     {},
		berylfake.StoreRefuses:     {Mode: berylfake.ModeRefuse},
		berylfake.StoreLosesAnswer: {LoseAnswers: -1, CutReads: true},
		berylfake.StoreLosesCall:   {CutWrites: -1, CutReads: true},
		berylfake.StoreDelaysCall:  {LateWrites: -1, CutReads: true},
	}[fault]))
}

// Revoke ends a lease, which deletes its keys, and fails the test if the platform does not confirm it.
func (g *gateway) Revoke(lease int64) {
	is.New(g.t).Equal(g.client.Revoke(g.t.Context(), lease).Status, beryletcd.Done)
}

// FreezeStaleLists does nothing, since listings are never stale here.
func (g *gateway) FreezeStaleLists() {}

// Compact drops the history of revisions.
func (g *gateway) Compact() {
	is.New(g.t).NoErr(g.SetFault(berylfake.PlatformFault{Compact: true}))
}

// TestWatchOfSilentStore checks that a watch without changes ends after the requested wait and returns the revision
// that it started from.
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
	is.True(time.Since(started) < longTimeout/2) // the wait ended the watch, not the call timeout
	events, _, err = s.Watch(t.Context(), "a/", made.Revision-1, 2*time.Second)
	is.NoErr(err)
	is.Equal(len(events), 1) // the transaction wrote two keys, only one of them under the prefix
}
