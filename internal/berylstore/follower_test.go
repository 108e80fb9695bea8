package berylstore_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/berylstore"
)

// followedCopy is one host's copy of the items under a prefix, kept by a Follower.
type followedCopy struct {
	berylstore.Follower
	mu    sync.Mutex
	items map[string]string
}

func newCopy(store berylstore.Store) *followedCopy {
	c := &followedCopy{items: make(map[string]string)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	c.Follower = berylstore.Follower{Store: store, Prefix: "p/", Log: log,
		Reset: func(items []berylstore.Item, _ int64) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.items = make(map[string]string)
			for _, item := range items {
				c.items[item.Key] = string(item.Value)
			}
		},
		Apply: func(events []berylstore.Event, _ int64) {
			c.mu.Lock()
			defer c.mu.Unlock()
			for _, e := range events {
				if e.Deleted {
					delete(c.items, e.Key)
				} else {
					c.items[e.Key] = string(e.Value)
				}
			}
		},
	}
	return c
}

func (c *followedCopy) get(key string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.items[key]
}

func TestFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &berylfake.MemoryStore{}
		for i := range 12 { // a page of the fake store has five items, so the listing has several pages
			store.Write(fmt.Sprintf("p/%02d", i), "old")
		}
		c := newCopy(store)
		go c.Run(ctx)
		time.Sleep(time.Millisecond)
		is.Equal(c.get("p/11"), "old")
		store.Write("p/11", "new")
		time.Sleep(time.Millisecond)
		is.Equal(c.get("p/11"), "new")
		is.True(c.ReconnectedAt().IsZero())

		store.SetFault(func(string, string) berylfake.MemoryStoreFault { return berylfake.StoreRefuses })
		time.Sleep(5 * time.Second)
		is.True(c.Unavailable())
		store.Write("p/11", "newer")
		store.Compact() // drops the history that the follower needs, so that it has to list again
		store.SetFault(nil)
		time.Sleep(time.Second)
		is.Equal(c.get("p/11"), "newer")
		is.True(!c.Unavailable())
		is.True(time.Since(c.ReconnectedAt()) <= time.Second)
	})
}

// TestStaleListingIsNeverShown checks that a host that starts from stale pages, which may be seconds old, never shows
// items that were deleted since.
func TestStaleListingIsNeverShown(t *testing.T) {
	for _, compacted := range []bool{false, true} {
		t.Run(fmt.Sprintf("compacted %v", compacted), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				store := &berylfake.MemoryStore{}
				for i := range 12 {
					store.Write(fmt.Sprintf("p/%02d", i), "old")
				}
				store.FreezeStaleLists()
				store.Write("p/00", "new")
				store.Write("p/13", "added")
				store.Commit(ctx, berylstore.Txn{Deletes: []string{"p/03"}})
				if compacted {
					store.Compact()
				}
				c := newCopy(store)
				reset, first := c.Reset, true
				c.Reset = func(items []berylstore.Item, asOf int64) {
					for _, item := range items {
						is.True(item.Key != "p/03") // was deleted before this host started, though the stale pages still have it
						is.True(item.Key != "p/00" || string(item.Value) == "new")
					}
					is.Equal(len(items), 12)
					is.True(first)
					first = false
					reset(items, asOf)
				}
				go c.Run(ctx)
				time.Sleep(time.Second)
				is.Equal(c.get("p/13"), "added")
				is.Equal(store.Calls()["list"] == 0, !compacted)
				store.Write("p/03", "back")
				time.Sleep(time.Millisecond)
				is.Equal(c.get("p/03"), "back")
			})
		})
	}
}

// TestListingAtABusyStore has many hosts list at once, as when a large fleet starts, while the store refuses half of
// their calls. Each must progress page by page, and none may consider the store unavailable.
func TestListingAtABusyStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &berylfake.MemoryStore{}
		for i := range 30 { // a page of the fake store has five items, so each host lists six pages
			store.Write(fmt.Sprintf("p/%02d", i), "v")
		}
		random := rand.New(rand.NewPCG(1, 2))
		store.SetFault(func(string, string) berylfake.MemoryStoreFault {
			if random.Float64() < 0.5 {
				return berylfake.StoreBusy
			}
			return berylfake.StoreHealthy
		})
		var copies []*followedCopy
		for range 20 {
			c := newCopy(store)
			copies = append(copies, c)
			go c.Run(ctx)
		}
		time.Sleep(20 * time.Second)
		for _, c := range copies {
			is.True(!c.Unavailable())
			is.True(c.ReconnectedAt().IsZero())
			is.Equal(c.get("p/29"), "v")
		}
	})
}
