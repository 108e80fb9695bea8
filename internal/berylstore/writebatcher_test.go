package berylstore_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/berylstore"
)

// batcherFixture is a host that writes for others, and hosts that rely on it.
type batcherFixture struct {
	store  berylfake.MemoryStore
	writer *berylstore.WriteBatcher
	others []*berylstore.WriteBatcher
	// lost makes the writer unreachable for the others.
	lost bool
}

func newBatcherFixture(hosts int) *batcherFixture {
	w := &batcherFixture{}
	w.writer = &berylstore.WriteBatcher{Store: &w.store, Writer: func() string { return "" }}
	for range hosts {
		w.others = append(w.others, &berylstore.WriteBatcher{
			Store: &w.store, Writer: func() string { return "writer" },
			Forward: func(ctx context.Context, _ string, put berylstore.Put) (bool, error) {
				if w.lost {
					return false, io.EOF
				}
				return w.writer.Add(ctx, put), nil
			},
		})
	}
	return w
}

// putAll has each host write an item and returns how many writes the store accepted.
func (w *batcherFixture) putAll(ctx context.Context, lease func(i int) int64) int {
	var group sync.WaitGroup
	var mu sync.Mutex
	done := 0
	for i, g := range w.others {
		group.Go(func() {
			put := berylstore.Put{Key: fmt.Sprintf("progress/%02d", i), Value: []byte("v"), Lease: lease(i)}
			if g.Put(ctx, put) {
				mu.Lock()
				defer mu.Unlock()
				done++
			}
		})
	}
	group.Wait()
	return done
}

func noLease(int) int64 { return 0 }

func TestBatchedWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newBatcherFixture(40)
		is.Equal(w.putAll(t.Context(), noLease), 40)
		is.Equal(w.store.Calls()["commit"], 2) // one commit of maxBatchPuts writes and one of the rest
		_, found, _ := w.store.Get(t.Context(), "progress/39")
		is.True(found)
	})
}

// TestBatchedWritesWithAnEndedLease checks that an ended lease fails the put of its own item only.
func TestBatchedWritesWithAnEndedLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newBatcherFixture(5)
		ended, err := w.store.Grant(t.Context(), time.Minute)
		is.NoErr(err)
		w.store.Revoke(ended)
		done := w.putAll(t.Context(), func(i int) int64 {
			if i == 3 {
				return ended
			}
			return 0
		})
		is.Equal(done, 4)
		_, found, _ := w.store.Get(t.Context(), "progress/03")
		is.True(!found)
	})
}

func TestBatchedWritesWithoutAWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newBatcherFixture(3)
		w.lost = true
		is.Equal(w.putAll(t.Context(), noLease), 3) // the writer can't be reached, so each host writes its item itself
		is.Equal(w.store.Calls()["commit"], 3)
	})
}

// TestBatchedWritesWhileTheStoreIsUnavailable checks that writes fail within 2 s while the store is unavailable.
func TestBatchedWritesWhileTheStoreIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newBatcherFixture(3)
		w.store.FailCalls(berylfake.StoreRefuses)
		began := time.Now()
		is.Equal(w.putAll(t.Context(), noLease), 0)
		is.True(time.Since(began) < 2*time.Second)
	})
}

func TestBatchedWritesOfLargeItems(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store berylfake.MemoryStore
		g := &berylstore.WriteBatcher{Store: &store, Writer: func() string { return "" }}
		var group sync.WaitGroup
		for i := range 3 {
			group.Go(func() {
				is.True(g.Put(t.Context(), berylstore.Put{Key: fmt.Sprintf("p/%d", i), Value: make([]byte, 400<<10)}))
			})
		}
		group.Wait()
		is.Equal(store.Calls()["commit"], 3) // no change exceeds the store's size limit
	})
}
