package berylstore_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/berylstore"
)

// fallbackFixture is a host that can't reach the store, and other hosts that may reach it.
type fallbackFixture struct {
	store       berylfake.MemoryStore
	unreachable berylfake.MemoryStore // the store as the host sees it: it refuses all calls
	fallback    berylstore.FallbackStore
	asked       []string
	// cutOff are the other hosts that can't reach the store, silent those that do not answer.
	cutOff, silent map[string]bool
}

func newFallbackFixture() *fallbackFixture {
	w := &fallbackFixture{cutOff: map[string]bool{}, silent: map[string]bool{}}
	w.unreachable.SetFault(func(string, string) berylfake.MemoryStoreFault { return berylfake.StoreRefuses })
	w.fallback = berylstore.FallbackStore{
		Store:         &w.unreachable,
		Unavailable:   func() bool { return true },
		FallbackHosts: func() []string { return []string{"b", "c", "d"} },
		Forward: func(ctx context.Context, host string, call berylstore.Call) (berylstore.CallReply, error) {
			w.asked = append(w.asked, host)
			if w.silent[host] {
				return berylstore.CallReply{}, io.EOF
			}
			return berylstore.ServeCall(ctx, &w.store, w.cutOff[host], call), nil
		},
	}
	return w
}

func TestFallbackStore(t *testing.T) {
	create := berylstore.Txn{Checks: []berylstore.Check{{Key: "k"}}, Puts: []berylstore.Put{{Key: "k", Value: []byte("v")}}}
	t.Run("calls go through another host", func(t *testing.T) {
		is, w := is.New(t), newFallbackFixture()
		is.Equal(w.fallback.Commit(t.Context(), create).Status, berylstore.Done)
		again := w.fallback.Commit(t.Context(), create)
		is.Equal(again.Status, berylstore.Conflict)
		is.Equal(string(again.Current[0].Value), "v")
		item, found, err := w.fallback.Get(t.Context(), "k")
		is.NoErr(err)
		is.True(found)
		is.Equal(string(item.Value), "v")
		page, err := w.fallback.List(t.Context(), "k", "")
		is.NoErr(err)
		is.Equal(len(page.Items), 1)
		_, found, err = w.fallback.Get(t.Context(), "none")
		is.NoErr(err)
		is.True(!found)
	})
	t.Run("the next host is asked when one can't reach the store either", func(t *testing.T) {
		is, w := is.New(t), newFallbackFixture()
		w.cutOff["b"] = true
		is.Equal(w.fallback.Commit(t.Context(), create).Status, berylstore.Done)
		is.Equal(w.asked, []string{"b", "c"})
	})
	t.Run("refused at once when no host can reach the store", func(t *testing.T) {
		is, w := is.New(t), newFallbackFixture()
		w.cutOff["b"], w.cutOff["c"] = true, true
		is.Equal(w.fallback.Commit(t.Context(), create).Status, berylstore.NotDone)
		_, _, err := w.fallback.Get(t.Context(), "k")
		is.True(err != nil)
	})
	t.Run("a change that may have been executed is not forwarded to the next host", func(t *testing.T) {
		is, w := is.New(t), newFallbackFixture()
		w.silent["b"] = true
		is.Equal(w.fallback.Commit(t.Context(), create).Status, berylstore.Unknown)
		is.Equal(w.asked, []string{"b"})
	})
}

// TestFallbackStoreWhenOwnCallsFail covers a host whose calls fail while another host watches for it, so that it does
// not notice that the store is unavailable. A change whose answer was lost is sent again by its caller and then goes
// through another host; after a second the host tries the store itself again.
func TestFallbackStoreWhenOwnCallsFail(t *testing.T) {
	for name, fault := range map[string]berylfake.MemoryStoreFault{
		"refused": berylfake.StoreRefuses, "reset": berylfake.StoreLosesCall, "answer lost": berylfake.StoreLosesAnswer,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, w := is.New(t), newFallbackFixture()
				w.fallback.Unavailable = func() bool { return false }
				w.fallback.Store = &w.store // the fault applies to the host's own calls; Forward clears it for the calls of other hosts
				w.fallback.Forward = func(ctx context.Context, host string, call berylstore.Call) (berylstore.CallReply, error) {
					w.asked = append(w.asked, host)
					w.store.SetFault(nil)
					defer w.store.FailCalls(fault)
					return berylstore.ServeCall(ctx, &w.store, false, call), nil
				}
				w.store.FailCalls(fault)
				create := berylstore.Txn{Checks: []berylstore.Check{{Key: "k"}}, Puts: []berylstore.Put{{Key: "k", Value: []byte("v")}}}
				first := w.fallback.Commit(t.Context(), create)
				if fault == berylfake.StoreRefuses {
					is.Equal(first.Status, berylstore.Done) // the store has not executed the change, so another host may make the call
				} else {
					is.Equal(first.Status, berylstore.Unknown)
					is.Equal(len(w.asked), 0) // the change may have taken effect, so it is not forwarded
					again := w.fallback.Commit(t.Context(), create)
					is.True(again.Status == berylstore.Done || again.Status == berylstore.Conflict && string(again.Current[0].Value) == "v")
				}
				_, found, err := w.fallback.Get(t.Context(), "k")
				is.NoErr(err)
				is.True(found)
				w.store.FailCalls(berylfake.StoreHealthy)
				asked := len(w.asked)
				time.Sleep(1100 * time.Millisecond)
				w.store.SetFault(nil)
				_, _, err = w.fallback.Get(t.Context(), "k")
				is.NoErr(err)
				is.Equal(len(w.asked), asked)
			})
		})
	}
}

// TestNoFallbackForABusyStore checks that calls that the store refuses because it receives too many are not forwarded.
func TestNoFallbackForABusyStore(t *testing.T) {
	is, w := is.New(t), newFallbackFixture()
	w.fallback.Unavailable = func() bool { return false }
	w.unreachable.FailCalls(berylfake.StoreBusy)
	_, _, err := w.fallback.Get(t.Context(), "k")
	is.True(err != nil)
	is.Equal(len(w.asked), 0)
}

// TestFollowerThatIsCutOff checks that a host that can't reach the store gets changes from other hosts, and continues
// by itself once it reaches the store again.
func TestFollowerThatIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &berylfake.MemoryStore{}
		store.Write("p/a", "1")
		cutOffStore := &refusingStore{Store: store}
		connected, cutOff := newCopy(store), newCopy(cutOffStore)
		cutOff.Sharing = &berylstore.WatchSharing{
			Source:         func() (string, bool) { return "", false },
			FallbackHosts:  func() []string { return []string{"connected"} },
			RequestChanges: connected.answer,
		}
		go connected.Run(ctx)
		go cutOff.Run(ctx)
		time.Sleep(time.Second)
		cutOffStore.refuse.Store(true)
		time.Sleep(3 * time.Second)
		is.True(cutOff.Unavailable())
		store.Write("p/a", "2")
		time.Sleep(1500 * time.Millisecond)
		is.Equal(cutOff.get("p/a"), "2")
		cutOffStore.refuse.Store(false)
		time.Sleep(time.Second)
		is.True(!cutOff.Unavailable())
		store.Write("p/a", "3")
		time.Sleep(50 * time.Millisecond)
		is.Equal(cutOff.get("p/a"), "3")
	})
}
