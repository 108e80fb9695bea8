package berylcontract

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/berylstore"
)

// Backend is the stand-in service behind the tested store. The tests use it to act as another client and to inject faults.
type Backend interface {
	// Get reads an item and Commit commits a transaction, both without going through the tested store.
	Get(ctx context.Context, key string) (berylstore.Item, bool, error)
	Commit(ctx context.Context, txn berylstore.Txn) berylstore.Result
	// FailCalls makes all calls from now on fail with the fault.
	FailCalls(fault berylfake.MemoryStoreFault)
	// ApplyDelayed executes the transactions that StoreDelaysCall delayed.
	ApplyDelayed()
	// Revoke revokes a lease, Compact drops the history of changes, and FreezeStaleLists makes stale listings return the items
	// that exist at the time of its call.
	Revoke(lease int64)
	Compact()
	FreezeStaleLists()
}

// RunStoreTests runs the tests, each on a new store that open returns together with the stand-in behind it.
func RunStoreTests(t *testing.T, open func(t *testing.T) (Backend, berylstore.Store)) {
	start := func(t *testing.T) (*is.I, Backend, berylstore.Store) {
		backing, s := open(t)
		return is.New(t), backing, s
	}
	t.Run("items", func(t *testing.T) {
		is, _, s := start(t)
		_, found, err := s.Get(t.Context(), "a/1")
		is.NoErr(err)
		is.True(!found)
		made := s.Commit(t.Context(), berylstore.Txn{Checks: []berylstore.Check{{Key: "a/1"}}, Puts: []berylstore.Put{{Key: "a/1", Value: []byte{0, 255, '"'}}, {Key: "b", Value: nil}}})
		is.Equal(made.Status, berylstore.Done)
		item, found, err := s.Get(t.Context(), "a/1")
		is.NoErr(err)
		is.True(found)
		is.Equal(item.Value, []byte{0, 255, '"'})
		is.Equal(item.Revision, made.Revision)
	})
	t.Run("conflict", func(t *testing.T) {
		is, _, s := start(t)
		s.Commit(t.Context(), berylstore.Txn{Puts: []berylstore.Put{{Key: "a", Value: []byte("x")}}})
		r := s.Commit(t.Context(), berylstore.Txn{Checks: []berylstore.Check{{Key: "a"}, {Key: "none"}}, Puts: []berylstore.Put{{Key: "a", Value: []byte("y")}}})
		is.Equal(r.Status, berylstore.Conflict)
		is.Equal(len(r.Current), 1) // missing items are not returned
		is.Equal(string(r.Current[0].Value), "x")
		item, _, _ := s.Get(t.Context(), "a")
		is.Equal(string(item.Value), "x")
	})
	t.Run("pages", func(t *testing.T) {
		is, _, s := start(t)
		for i := range 12 {
			s.Commit(t.Context(), berylstore.Txn{Puts: []berylstore.Put{{Key: fmt.Sprintf("p/%02d", i), Value: []byte("v")}}})
		}
		s.Commit(t.Context(), berylstore.Txn{Puts: []berylstore.Put{{Key: "q", Value: []byte("v")}}})
		var keys []string
		after := ""
		for {
			page, err := s.List(t.Context(), "p/", after)
			is.NoErr(err)
			for _, item := range page.Items {
				keys = append(keys, item.Key)
			}
			if !page.More {
				break
			}
			after = keys[len(keys)-1]
		}
		is.Equal(len(keys), 12)
		is.Equal(keys[11], "p/11")
	})
	t.Run("watch", func(t *testing.T) {
		is, backing, s := start(t)
		first := s.Commit(t.Context(), berylstore.Txn{Puts: []berylstore.Put{{Key: "w/a", Value: []byte("1")}}})
		time.AfterFunc(20*time.Millisecond, func() {
			backing.Commit(context.Background(), berylstore.Txn{Puts: []berylstore.Put{{Key: "w/b", Value: []byte("2")}}, Deletes: []string{"w/a"}})
		})
		events, asOf, err := s.Watch(t.Context(), "w/", first.Revision, 2*time.Second)
		is.NoErr(err)
		is.Equal(len(events), 2)
		is.True(asOf >= events[1].Revision)
		is.Equal(string(events[0].Value), "2")
		is.True(events[1].Deleted)
		events, _, err = s.Watch(t.Context(), "w/", asOf, 10*time.Millisecond)
		is.NoErr(err)
		is.Equal(len(events), 0)
		backing.Compact()
		backing.Commit(t.Context(), berylstore.Txn{Puts: []berylstore.Put{{Key: "w/c", Value: []byte("3")}}})
		_, _, err = s.Watch(t.Context(), "w/", first.Revision, 2*time.Second)
		is.True(errors.Is(err, berylstore.ErrCompacted))
	})
	t.Run("stale pages", func(t *testing.T) {
		is, backing, s := start(t)
		s.Commit(t.Context(), berylstore.Txn{Puts: []berylstore.Put{{Key: "s/gone", Value: []byte("1")}, {Key: "s/kept", Value: []byte("1")}}})
		backing.FreezeStaleLists()
		s.Commit(t.Context(), berylstore.Txn{Puts: []berylstore.Put{{Key: "s/kept", Value: []byte("2")}}, Deletes: []string{"s/gone"}})
		page, err := s.ListStale(t.Context(), "s/", "")
		is.NoErr(err)
		is.True(len(page.Items) > 0)
		events, _, err := s.Watch(t.Context(), "s/", page.AsOf, 50*time.Millisecond)
		is.NoErr(err)
		last := make(map[string]berylstore.Event) // the result of applying the events to the page
		for _, item := range page.Items {
			last[item.Key] = berylstore.Event{Item: item}
		}
		for _, e := range events {
			last[e.Key] = e
		}
		gone, listed := last["s/gone"]
		is.True(!listed || gone.Deleted)
		is.Equal(string(last["s/kept"].Value), "2")
	})
	t.Run("leases", func(t *testing.T) {
		is, backing, s := start(t)
		lease, err := s.Grant(t.Context(), time.Minute)
		is.NoErr(err)
		is.Equal(s.Commit(t.Context(), berylstore.Txn{Puts: []berylstore.Put{{Key: "l", Value: []byte("v"), Lease: lease}}}).Status, berylstore.Done)
		alive, err := s.KeepAlive(t.Context(), lease)
		is.NoErr(err)
		is.True(alive)
		backing.Revoke(lease)
		alive, err = s.KeepAlive(t.Context(), lease)
		is.NoErr(err)
		is.True(!alive)
		_, found, _ := s.Get(t.Context(), "l")
		is.True(!found)
		is.Equal(s.Commit(t.Context(), berylstore.Txn{Puts: []berylstore.Put{{Key: "l", Value: []byte("v"), Lease: lease}}}).Status, berylstore.LeaseGone)
	})
	for _, tt := range []struct {
		name  string
		fault berylfake.MemoryStoreFault
		// status is the result of a write and readErr the error of a read; applied reports whether the write took effect.
		status  berylstore.Status
		readErr error
		applied bool
	}{
		{"refused", berylfake.StoreRefuses, berylstore.NotDone, berylstore.ErrNotDone, false},
		{"answer lost", berylfake.StoreLosesAnswer, berylstore.Unknown, berylstore.ErrUnknown, true},
		{"call lost", berylfake.StoreLosesCall, berylstore.Unknown, berylstore.ErrUnknown, false},
		{"executed late", berylfake.StoreDelaysCall, berylstore.Unknown, berylstore.ErrUnknown, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is, backing, s := start(t)
			backing.FailCalls(tt.fault)
			bounded, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			r := s.Commit(bounded, berylstore.Txn{Checks: []berylstore.Check{{Key: "f"}}, Puts: []berylstore.Put{{Key: "f", Value: []byte("v")}}})
			is.Equal(r.Status, tt.status)
			is.True(r.Err != nil)
			_, _, err := s.Get(bounded, "f")
			is.True(errors.Is(err, tt.readErr))
			_, err = s.List(bounded, "f", "")
			is.True(err != nil)
			_, _, err = s.Watch(bounded, "f", 0, 10*time.Millisecond)
			is.True(err != nil)
			backing.FailCalls(berylfake.StoreHealthy)
			_, found, _ := backing.Get(t.Context(), "f")
			is.Equal(found, tt.applied)
			backing.ApplyDelayed()
			_, found, _ = backing.Get(t.Context(), "f")
			is.Equal(found, tt.applied || tt.fault == berylfake.StoreDelaysCall)
		})
	}
}
