package berylstore_test

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/berylstore"
)

// coalescerFixture is a host that watches four prefixes for another one, which requests the changes of all of them
// together.
type coalescerFixture struct {
	store    berylfake.MemoryStore
	watching map[string]*followedCopy
	relying  map[string]*followedCopy
	requests atomic.Int64
	// fault replaces the replies of the watching host; nil means that it replies normally.
	fault atomic.Pointer[func(ctx context.Context) error]
}

var coalescedPrefixes = []string{"a/", "b/", "c/", "d/"}

func startCoalescerFixture(ctx context.Context) *coalescerFixture {
	w := &coalescerFixture{watching: make(map[string]*followedCopy), relying: make(map[string]*followedCopy)}
	coalescer := &berylstore.WatchCoalescer{Send: func(ctx context.Context, _ string, requests []berylstore.WatchRequest) ([]berylstore.WatchReply, error) {
		w.requests.Add(1)
		if fault := w.fault.Load(); fault != nil {
			return nil, (*fault)(ctx)
		}
		return berylstore.ServeWatches(ctx, requests, func(prefix string) *berylstore.Follower {
			if c := w.watching[prefix]; c != nil {
				return &c.Follower
			}
			return nil
		})
	}}
	share := &berylstore.WatchSharing{Source: func() (string, bool) { return "watching", false }, RequestChanges: coalescer.Request}
	for i, prefix := range coalescedPrefixes {
		w.store.Write(prefix+"x", "old")
		watching, relying := newCopy(&w.store), newCopy(&w.store)
		watching.Prefix, relying.Prefix = prefix, prefix
		watching.Sharing = watchesForOthers()
		relying.Sharing = share
		relying.Debounce = time.Duration(i) * 200 * time.Millisecond
		w.watching[prefix], w.relying[prefix] = watching, relying
		go watching.Run(ctx)
	}
	time.Sleep(10 * time.Millisecond)
	for _, prefix := range coalescedPrefixes {
		go w.relying[prefix].Run(ctx)
	}
	return w
}

// waitForValue waits until the relying host has the value and returns how long that took.
func (w *coalescerFixture) waitForValue(prefix, value string) time.Duration {
	began := time.Now()
	for w.relying[prefix].get(prefix+"x") != value {
		time.Sleep(time.Millisecond)
	}
	return time.Since(began)
}

// TestCoalescedWatch checks that a host that relies on another one makes two calls a second, however many prefixes it
// follows, and learns of each change as soon as with a watch of its own.
func TestCoalescedWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(time.Second) // waits for a call in flight, whose context is not derived from ctx
		defer cancel()
		w := startCoalescerFixture(ctx)
		time.Sleep(time.Second)
		before := w.requests.Load()
		time.Sleep(10 * time.Second)
		is.True(w.requests.Load()-before <= 20) // at most two calls a second for 10 s, although the host follows four prefixes
		for n := range 40 {
			prefix := coalescedPrefixes[n%len(coalescedPrefixes)]
			value := fmt.Sprint("new ", n)
			w.store.Write(prefix+"x", value)
			is.True(w.waitForValue(prefix, value) <= 30*time.Millisecond+w.relying[prefix].Debounce)
			time.Sleep(time.Duration(n*7) * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		before = w.requests.Load()
		time.Sleep(10 * time.Second)
		is.True(w.requests.Load()-before <= 20) // requests that had drifted apart coincide again
	})
}

// TestCoalescedWatchAtABrokenHost checks that a watching host that falls silent or is gone delays no prefix longer than
// it would delay a single watch.
func TestCoalescedWatchAtABrokenHost(t *testing.T) {
	for name, fault := range map[string]func(ctx context.Context) error{
		"silent": func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		},
		"gone":               func(context.Context) error { return io.EOF },
		"answers too little": func(context.Context) error { return nil },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer time.Sleep(time.Second) // waits for a call in flight, whose context is not derived from ctx
				defer cancel()
				w := startCoalescerFixture(ctx)
				time.Sleep(3300 * time.Millisecond)
				w.fault.Store(&fault)
				for _, prefix := range coalescedPrefixes {
					w.store.Write(prefix+"x", "new")
				}
				began := time.Now()
				for _, prefix := range coalescedPrefixes {
					w.waitForValue(prefix, "new")
				}
				is.True(time.Since(began) <= 1800*time.Millisecond)
			})
		})
	}
}

// TestServeWatches checks that calls with no, too many or unknown prefixes are refused.
func TestServeWatches(t *testing.T) {
	is := is.New(t)
	c := newCopy(&berylfake.MemoryStore{})
	find := func(prefix string) *berylstore.Follower {
		if prefix == c.Prefix {
			return &c.Follower
		}
		return nil
	}
	for _, requests := range [][]berylstore.WatchRequest{nil, make([]berylstore.WatchRequest, 100), {{Prefix: "p/"}, {Prefix: "other/"}}} {
		_, err := berylstore.ServeWatches(t.Context(), requests, find)
		is.True(err != nil)
	}
	replies, err := berylstore.ServeWatches(t.Context(), []berylstore.WatchRequest{{Prefix: "p/", Wait: -1}}, find)
	is.NoErr(err)
	is.Equal(replies[0].Complete, false) // the follower has not listed anything yet, so it has no changes to reply with
}

// TestServeWatchesCanceled ends the context of the requesting host before anything changes.
func TestServeWatchesCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &berylfake.MemoryStore{}
		store.Write("p/a", "old")
		c := newCopy(store)
		go c.Run(ctx)
		time.Sleep(time.Millisecond)
		requestCtx, stop := context.WithTimeout(ctx, time.Second)
		defer stop()
		_, err := berylstore.ServeWatches(requestCtx, []berylstore.WatchRequest{{Prefix: "p/", AfterRevision: 1 << 40, Wait: time.Minute}}, func(string) *berylstore.Follower { return &c.Follower })
		is.Equal(err, context.DeadlineExceeded)
	})
}
