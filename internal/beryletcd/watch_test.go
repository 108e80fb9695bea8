package beryletcd_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"berylroad.example/berylroad/internal/beryletcd"
	"berylroad.example/berylroad/internal/berylfake"
)

// watchTest is a watch of a fake platform and a client that writes to that platform.
type watchTest struct {
	*is.I
	fake    *berylfake.Platform
	client  *beryletcd.Client
	changes chan beryletcd.Change
}

// TestWatch follows one prefix across the ways in which a watch's stream can end.
func TestWatch(t *testing.T) {
	tests := []struct {
		name string
		from int64
		run  func(w *watchTest)
	}{
		{"snapshot-then-changes", 0, func(w *watchTest) {
			w.expect("snapshot /w/old=1")
			revision := w.put("/w/a", "1", 0)
			w.expect("/w/a=1")
			w.put("/w/a", "2", revision)
			w.expect("/w/a=2")
			w.put("/other", "1", 0)
			w.Equal(w.client.Remove(context.Background(), "/w/old", 2).Status, beryletcd.Done)
			w.expect("-/w/old")
		}},
		{"dropped", 0, func(w *watchTest) {
			w.expect("snapshot /w/old=1")
			w.fault(berylfake.PlatformFault{DropWatches: true})
			w.put("/w/a", "1", 0)
			w.expect("/w/a=1")
		}},
		{"service-restarted", 0, func(w *watchTest) {
			w.expect("snapshot /w/old=1")
			w.fault(berylfake.PlatformFault{Mode: berylfake.ModeRefuse})
			w.fault(berylfake.PlatformFault{})
			w.put("/w/a", "1", 0)
			w.expect("/w/a=1")
		}},
		{"frozen-for-a-while", 0, func(w *watchTest) {
			w.expect("snapshot /w/old=1")
			opened := w.fake.Calls().Watch
			w.fault(berylfake.PlatformFault{Mode: berylfake.ModeFreeze})
			for w.fake.Calls().Watch < opened+2 {
				time.Sleep(time.Millisecond)
			}
			w.fault(berylfake.PlatformFault{})
			w.put("/w/a", "1", 0)
			w.expect("/w/a=1")
		}},
		{"resumes-from-a-revision", 2, func(w *watchTest) {
			w.put("/w/a", "1", 0)
			w.expect("/w/a=1")
		}},
		{"compacted", 1, func(w *watchTest) {
			w.expect("snapshot /w/old=1")
			w.put("/w/a", "1", 0)
			w.expect("/w/a=1")
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWatchTest(t)
			if tt.name == "compacted" {
				w.fault(berylfake.PlatformFault{Compact: true})
			}
			ctx, cancel := context.WithCancel(context.Background())
			var watching conc.WaitGroup
			watching.Go(func() {
				watcher := w.watcher()
				watcher.Watch(ctx, beryletcd.Target{Key: "/w/", Prefix: true}, tt.from, func(c beryletcd.Change) {
					w.changes <- c
				})
			})
			defer watching.Wait()
			defer cancel()
			tt.run(w)
		})
	}
}

// newWatchTest starts a fake platform that holds /w/old at revision 2.
func newWatchTest(t *testing.T) *watchTest {
	t.Helper()
	fake, err := berylfake.StartPlatform("127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(fake.Close)
	w := &watchTest{I: is.New(t), fake: fake, changes: make(chan beryletcd.Change, 100)}
	w.client = newClient(t, longTimeout, fake.URL())
	w.put("/w/old", "1", 0)
	return w
}

// watcher returns a client with a short idle timeout; its first endpoint does not answer.
func (w *watchTest) watcher() *beryletcd.Client {
	client, err := beryletcd.New(beryletcd.Config{
		Endpoints: []string{"http://127.0.0.1:1", w.fake.URL()}, Timeout: 10 * shortTimeout, WatchIdleTimeout: shortTimeout, Seed: 1,
	})
	w.NoErr(err)
	return client
}

// fault sets a fault of the fake platform.
func (w *watchTest) fault(f berylfake.PlatformFault) {
	w.NoErr(w.fake.SetFault(f))
}

// put writes a key and returns its new revision.
func (w *watchTest) put(key, value string, expect int64) int64 {
	outcome := w.client.Swap(context.Background(), key, []byte(value), expect, 0)
	w.Equal(outcome.Status, beryletcd.Done)
	return outcome.Revision
}

// expect waits for the next change and compares its text.
func (w *watchTest) expect(want string) {
	var words []string
	change := <-w.changes
	if change.Snapshot {
		words = append(words, "snapshot")
	}
	for _, r := range change.Records {
		words = append(words, fmt.Sprintf("%s=%s", r.Key, r.Value))
	}
	for _, key := range change.Deleted {
		words = append(words, "-"+key)
	}
	w.Equal(strings.Join(words, " "), want)
}

// TestHostList reads a list that is empty, set, lagging, invalid and unavailable.
func TestHostList(t *testing.T) {
	is := is.New(t)
	fake, err := berylfake.StartHostList("127.0.0.1:0")
	is.NoErr(err)
	defer fake.Close()
	list := &beryletcd.HostList{URL: fake.URL(), Timeout: longTimeout}
	read := func() []string {
		hosts, err := list.Hosts(context.Background())
		is.NoErr(err)
		var names []string
		for _, h := range hosts {
			names = append(names, h.Name+":"+string(h.State))
		}
		return names
	}
	is.Equal(len(read()), 0)
	is.NoErr(fake.Set(berylfake.ListedHost{Name: "a", State: "live"}, berylfake.ListedHost{Name: "b", State: "leaving"}))
	is.Equal(read(), []string{"a:live", "b:leaving"})
	fake.SetLag(time.Hour)
	is.NoErr(fake.Set(berylfake.ListedHost{Name: "c", State: "live"}))
	is.Equal(read(), []string{"a:live", "b:leaving"}) // the list lags by an hour, so it does not show the change yet
	fake.SetLag(0)
	for _, bad := range [][]berylfake.ListedHost{
		{{Name: "", State: "live"}},
		{{Name: "a", State: "broken"}},
		{{Name: "a", State: "live"}, {Name: "a", State: "leaving"}},
	} {
		is.NoErr(fake.Set(bad...))
		_, err := list.Hosts(context.Background())
		is.True(err != nil) // an empty name, an unknown state and a duplicate name are refused
	}
	fake.SetDown(true)
	_, err = list.Hosts(context.Background())
	is.True(err != nil) // the service answers 503
	is.Equal(fake.Reads(), 7)
}
