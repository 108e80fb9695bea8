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

// watchesForOthers returns the sharing of a host on which other hosts rely.
func watchesForOthers() *berylstore.WatchSharing {
	return &berylstore.WatchSharing{Source: func() (string, bool) { return "", true }}
}

// withFakeTime runs a test on fake time with a store that holds one item.
func withFakeTime(t *testing.T, run func(ctx context.Context, is *is.I, store *berylfake.MemoryStore)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &berylfake.MemoryStore{}
		store.Write("p/a", "old")
		run(ctx, is.New(t), store)
	})
}

// answer serves the watch request of another host from this copy.
func (c *followedCopy) answer(ctx context.Context, _ string, request berylstore.WatchRequest) (berylstore.WatchReply, error) {
	replies, err := berylstore.ServeWatches(ctx, []berylstore.WatchRequest{request}, func(string) *berylstore.Follower { return &c.Follower })
	if err != nil {
		return berylstore.WatchReply{}, err
	}
	return replies[0], nil
}

// relyOn makes the host of another copy watch for this one, and counts the requests.
func (c *followedCopy) relyOn(watching *followedCopy) *atomic.Int64 {
	var asked atomic.Int64
	watching.Sharing = watchesForOthers()
	c.Sharing = &berylstore.WatchSharing{
		Source: func() (string, bool) { return "watching", false },
		RequestChanges: func(ctx context.Context, host string, r berylstore.WatchRequest) (berylstore.WatchReply, error) {
			asked.Add(1)
			return watching.answer(ctx, host, r)
		},
	}
	return &asked
}

// TestSharedWatch checks that a configuration is in force within 2 s on each host that reaches the store, even while
// the host that watches for it is frozen, gone or can't reach the store.
func TestSharedWatch(t *testing.T) {
	for _, tt := range []struct {
		name string
		// reply replaces the replies of the watching host after the fault; nil means that it replies normally.
		reply func(ctx context.Context, f *berylstore.Follower, r berylstore.WatchRequest) (berylstore.WatchReply, error)
		// silent makes the store leave the watches of the watching host unanswered.
		silent bool
	}{
		{name: "healthy"},
		{name: "frozen", reply: func(ctx context.Context, _ *berylstore.Follower, _ berylstore.WatchRequest) (berylstore.WatchReply, error) {
			<-ctx.Done()
			return berylstore.WatchReply{}, ctx.Err()
		}},
		{name: "gone", reply: func(context.Context, *berylstore.Follower, berylstore.WatchRequest) (berylstore.WatchReply, error) {
			return berylstore.WatchReply{}, io.EOF
		}},
		{name: "cut from the store", silent: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withFakeTime(t, func(ctx context.Context, is *is.I, store *berylfake.MemoryStore) {
				flaky := &silentStore{Store: store}
				watching, relying := newCopy(flaky), newCopy(store)
				watching.Sharing = watchesForOthers()
				var broken atomic.Bool
				relying.Sharing = &berylstore.WatchSharing{
					Source: func() (string, bool) { return "watching", false },
					RequestChanges: func(ctx context.Context, host string, r berylstore.WatchRequest) (berylstore.WatchReply, error) {
						if broken.Load() && tt.reply != nil {
							return tt.reply(ctx, &watching.Follower, r)
						}
						return watching.answer(ctx, host, r)
					},
				}
				go watching.Run(ctx)
				go relying.Run(ctx)
				time.Sleep(10 * time.Second)
				calls := store.Calls()["watch"]
				is.True(calls <= 25) // two a second for 10 s, all from the watching host, and those at the start
				broken.Store(true)
				flaky.silent.Store(tt.silent)
				store.Write("p/a", "new")
				began := time.Now()
				for relying.get("p/a") != "new" {
					time.Sleep(10 * time.Millisecond)
				}
				is.True(time.Since(began) <= 1800*time.Millisecond) // the limit of 2 s less 200 ms for requests, which take no time in this test
			})
		})
	}
}

// TestSharedWatchOverTwoHops covers a large fleet, in which the host that watches for others relies on a third one. A
// configuration is in force within 2 s while one or both of these hosts are frozen, or the upper one can't reach the
// store.
func TestSharedWatchOverTwoHops(t *testing.T) {
	for _, tt := range []struct {
		name             string
		top, middle, cut bool
		within           time.Duration
	}{
		{"healthy", false, false, false, 100 * time.Millisecond},
		{"top frozen", true, false, false, 1800 * time.Millisecond},
		{"middle frozen", false, true, false, 1800 * time.Millisecond},
		{"both frozen", true, true, false, 1800 * time.Millisecond},
		{"top cut from the store", false, false, true, 1800 * time.Millisecond},
		{"top cut from the store, middle frozen", false, true, true, 1800 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withFakeTime(t, func(ctx context.Context, is *is.I, store *berylfake.MemoryStore) {
				flaky := &silentStore{Store: store}
				top, middle, leaf := newCopy(flaky), newCopy(store), newCopy(store)
				top.Sharing = watchesForOthers()
				var topFrozen, middleFrozen atomic.Bool
				middle.relyThrough(top, &topFrozen, true)
				leaf.relyThrough(middle, &middleFrozen, false)
				for _, c := range []*followedCopy{top, middle, leaf} {
					go c.Run(ctx)
				}
				time.Sleep(10 * time.Second)
				is.True(store.Calls()["watch"] <= 28) // two a second for 10 s, all from the top host, and those at the start
				topFrozen.Store(tt.top)
				middleFrozen.Store(tt.middle)
				flaky.silent.Store(tt.cut)
				store.Write("p/a", "new")
				began := time.Now()
				for leaf.get("p/a") != "new" {
					time.Sleep(10 * time.Millisecond)
				}
				is.True(time.Since(began) <= tt.within)
			})
		})
	}
}

// TestReturnAfterALongCut cuts a host off from all others while the store drops its history. Once the host is back, it
// must soon list again everything that it follows.
func TestReturnAfterALongCut(t *testing.T) {
	withFakeTime(t, func(ctx context.Context, is *is.I, store *berylfake.MemoryStore) {
		watching := newCopy(store)
		watching.Sharing = watchesForOthers()
		go watching.Run(ctx)
		cutOffStore := &refusingStore{Store: store}
		share := &berylstore.WatchSharing{
			Source: func() (string, bool) { return "watching", false },
			RequestChanges: func(ctx context.Context, host string, r berylstore.WatchRequest) (berylstore.WatchReply, error) {
				if cutOffStore.refuse.Load() {
					return berylstore.WatchReply{}, io.EOF
				}
				return watching.answer(ctx, host, r)
			},
		}
		var copies []*followedCopy
		for range 4 {
			c := newCopy(cutOffStore)
			c.Sharing = share
			copies = append(copies, c)
			go c.Run(ctx)
		}
		time.Sleep(3 * time.Second)
		cutOffStore.refuse.Store(true)
		time.Sleep(6 * time.Second)
		store.Compact()
		store.Write("p/a", "new")
		restarted := newCopy(store) // the watching host has restarted too, and holds no earlier changes
		restarted.Sharing = watchesForOthers()
		go restarted.Run(ctx)
		time.Sleep(time.Millisecond)
		watching = restarted
		time.Sleep(6 * time.Second)
		cutOffStore.refuse.Store(false)
		time.Sleep(1500 * time.Millisecond)
		for _, c := range copies {
			is.True(!c.Unavailable())
			is.Equal(c.get("p/a"), "new")
		}
	})
}

// TestSharedWatchInACycle covers hosts that rely on each other in a cycle, as they may when their views of the fleet
// differ after a network partition. They must not take each other's old replies for new ones.
func TestSharedWatchInACycle(t *testing.T) {
	for hosts := 2; hosts <= 4; hosts++ {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			withFakeTime(t, func(ctx context.Context, is *is.I, store *berylfake.MemoryStore) {
				copies := make([]*followedCopy, hosts)
				for i := range copies {
					copies[i] = newCopy(store)
				}
				var frozen atomic.Bool
				for i, c := range copies {
					c.relyThrough(copies[(i+1)%hosts], &frozen, true)
					go c.Run(ctx)
				}
				time.Sleep(10 * time.Second)
				store.Write("p/a", "new")
				time.Sleep(1800 * time.Millisecond)
				for _, c := range copies {
					is.Equal(c.get("p/a"), "new")
					is.True(time.Since(c.LastCurrent()) <= 3*time.Second)
				}
			})
		})
	}
}

// relyThrough makes the host of another copy watch for this one; that host does not reply while frozen is set.
func (c *followedCopy) relyThrough(watching *followedCopy, frozen *atomic.Bool, serving bool) {
	c.Sharing = &berylstore.WatchSharing{
		Source: func() (string, bool) { return "other", serving },
		RequestChanges: func(ctx context.Context, host string, r berylstore.WatchRequest) (berylstore.WatchReply, error) {
			if frozen.Load() {
				<-ctx.Done()
				return berylstore.WatchReply{}, ctx.Err()
			}
			return watching.answer(ctx, host, r)
		},
	}
}

// TestSharedWatchOfSlowPrefix covers a prefix with a longer shared wait. The watching host and those that rely on it
// make fewer calls; their copies are still no older than that wait, one request and one direct watch.
func TestSharedWatchOfSlowPrefix(t *testing.T) {
	withFakeTime(t, func(ctx context.Context, is *is.I, store *berylfake.MemoryStore) {
		flaky := &silentStore{Store: store}
		watching, relying := newCopy(flaky), newCopy(store)
		watching.SharedWait, relying.SharedWait = time.Second, time.Second
		asked := relying.relyOn(watching)
		go watching.Run(ctx)
		go relying.Run(ctx)
		time.Sleep(10 * time.Millisecond)
		listed := store.Calls()["watch"] // the watches that complete the listings and the first ones that wait for changes
		time.Sleep(10 * time.Second)
		is.True(store.Calls()["watch"]-listed <= 11)
		is.True(asked.Load() <= 13)
		store.Write("p/a", "soon")
		time.Sleep(10 * time.Millisecond)
		is.Equal(relying.get("p/a"), "soon") // changes are passed on at once, whatever the wait
		flaky.silent.Store(true)
		store.Write("p/a", "new")
		began := time.Now()
		for relying.get("p/a") != "new" {
			time.Sleep(10 * time.Millisecond)
		}
		is.True(time.Since(began) <= 2800*time.Millisecond) // the end of a job must be known within 3 s
	})
}

// TestSharedWatchOfSilentStore checks that hosts that rely on a watching host notice a store that falls silent for all
// about as soon as that host does. Until they notice, calls on jobs time out instead of being refused.
func TestSharedWatchOfSilentStore(t *testing.T) {
	withFakeTime(t, func(ctx context.Context, is *is.I, store *berylfake.MemoryStore) {
		flaky := &silentStore{Store: store}
		watching, relying := newCopy(flaky), newCopy(flaky)
		relying.relyOn(watching)
		go watching.Run(ctx)
		go relying.Run(ctx)
		time.Sleep(10 * time.Second)
		flaky.silent.Store(true)
		began := time.Now()
		for !relying.Unavailable() {
			time.Sleep(10 * time.Millisecond)
		}
		is.True(time.Since(began) <= 2100*time.Millisecond)
	})
}

// TestOutageCostsFewCalls checks that an unavailable store is probed by one follower of each host, and less often by
// hosts for which another one watches, and that all copies are up to date soon after the outage.
func TestOutageCostsFewCalls(t *testing.T) {
	for _, relying := range []bool{false, true} {
		t.Run(fmt.Sprintf("relying %v", relying), func(t *testing.T) {
			withFakeTime(t, func(ctx context.Context, is *is.I, store *berylfake.MemoryStore) {
				watching := newCopy(store)
				watching.Sharing = watchesForOthers()
				go watching.Run(ctx)
				own := &berylfake.MemoryStore{} // a store of its own for the host under test, so that only the calls of this host are counted
				own.Write("p/a", "old")
				share := &berylstore.WatchSharing{
					Source: func() (string, bool) {
						if relying {
							return "watching", false
						}
						return "", false
					},
					RequestChanges: watching.answer,
				}
				var copies []*followedCopy
				for range 4 {
					c := newCopy(own)
					c.Sharing = share
					copies = append(copies, c)
					go c.Run(ctx)
				}
				time.Sleep(5 * time.Second)
				store.FailCalls(berylfake.StoreRefuses)
				own.FailCalls(berylfake.StoreRefuses)
				before := own.Calls()
				time.Sleep(2 * time.Second)
				is.True(own.Calls()["list"]+own.Calls()["list-stale"] == before["list"]+before["list-stale"]) // an outage does not cause a new listing
				watches := own.Calls()["watch"]
				time.Sleep(10 * time.Second)
				made := own.Calls()["watch"] - watches
				maxWatches := 36 // one probe every 0.3 s makes at most 34 in 10 s, and a few more are tolerated
				if relying {
					maxWatches = 6
				}
				t.Logf("%d calls", made)
				is.True(made <= maxWatches)
				store.FailCalls(berylfake.StoreHealthy)
				own.FailCalls(berylfake.StoreHealthy)
				store.Write("p/a", "new")
				own.Write("p/a", "new")
				time.Sleep(1200 * time.Millisecond)
				for _, c := range copies {
					is.True(!c.Unavailable())
					is.Equal(c.get("p/a"), "new")
				}
			})
		})
	}
}

// silentStore is a store whose watches get no answer while silent is set.
type silentStore struct {
	berylstore.Store
	silent atomic.Bool
}

func (s *silentStore) Watch(ctx context.Context, prefix string, above int64, wait time.Duration) ([]berylstore.Event, int64, error) {
	events, asOf, err := s.Store.Watch(ctx, prefix, above, wait)
	if s.silent.Load() {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return events, asOf, err
}

// refusingStore refuses watches and listings while refuse is set.
type refusingStore struct {
	berylstore.Store
	refuse atomic.Bool
}

func (s *refusingStore) Watch(ctx context.Context, prefix string, above int64, wait time.Duration) ([]berylstore.Event, int64, error) {
	if s.refuse.Load() {
		return nil, 0, berylstore.ErrNotDone
	}
	return s.Store.Watch(ctx, prefix, above, wait)
}

func (s *refusingStore) List(ctx context.Context, prefix, after string) (berylstore.Page, error) {
	if s.refuse.Load() {
		return berylstore.Page{}, berylstore.ErrNotDone
	}
	return s.Store.List(ctx, prefix, after)
}
