package berylentry

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/berylhost"
)

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// installedMembers records the candidates that a registry installed last.
type installedMembers struct {
	mu    sync.Mutex
	names map[string]bool
}

func (l *installedMembers) install(members []berylhost.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.names = make(map[string]bool)
	for _, m := range members {
		l.names[m.Name] = true
	}
}

func (l *installedMembers) has(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.names[name]
}

func startRegistry(ctx context.Context, store *berylfake.MemoryStore, name string, boot uint64) (*registry, *installedMembers) {
	var l installedMembers
	r := newRegistry(store, berylhost.Member{Name: name, PeerAddress: "10.0.0.1:1", Boot: boot}, discardLogger(), nil, l.install)
	go r.run(ctx)
	return r, &l
}

func TestHostsFindEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &berylfake.MemoryStore{}
		a, seenByA := startRegistry(t.Context(), store, "a", 1)
		b, seenByB := startRegistry(t.Context(), store, "b", 1)
		time.Sleep(time.Second)
		is.True(seenByA.has("b"))
		is.True(seenByB.has("a"))

		store.Revoke(a.currentLease()) // the end of the lease deletes a's entry
		time.Sleep(time.Second)
		_, found, err := store.Get(t.Context(), hostPrefix+"a")
		is.NoErr(err)
		is.True(found)            // a must have written its entry again
		is.True(seenByB.has("a")) // b must keep a as a candidate, because only the membership decides which hosts are up
		is.True(b.lease != 0)

		a.announceLeaving(t.Context())
		time.Sleep(time.Second)
		is.True(b.isLeaving("a", 1))
		is.True(!b.isLeaving("a", 2)) // the flag must not apply to a later run of the host
	})
}

func TestAnnouncementInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &berylfake.MemoryStore{}
		store.SetFault(func(string, string) berylfake.MemoryStoreFault { return berylfake.StoreRefuses })
		r, _ := startRegistry(t.Context(), store, "a", 1)
		time.Sleep(5 * time.Second)
		is.Equal(r.currentLease(), int64(0))
		store.SetFault(nil)
		time.Sleep(time.Second)
		is.True(r.currentLease() != 0)
	})
}

// The boot number must grow from run to run, even if the clock was set back between two runs. The other hosts take the
// run with the higher number for the later one.
func TestRunAfterTheClockWasSetBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &berylfake.MemoryStore{}
		earlierBoot := uint64(time.Now().Add(time.Hour).UnixNano())
		startRegistry(t.Context(), store, "a", earlierBoot)
		time.Sleep(time.Second)
		boot, err := nextBoot(t.Context(), store, "a", discardLogger())
		is.NoErr(err)
		is.Equal(boot, earlierBoot+1)
	})
}

func TestFleetKeyIsMadeOnce(t *testing.T) {
	is := is.New(t)
	store := &berylfake.MemoryStore{}
	first, err := fleetAuthority(t.Context(), store)
	is.NoErr(err)
	second, err := fleetAuthority(t.Context(), store)
	is.NoErr(err)
	is.Equal(first.Cert, second.Cert)
	settings := Settings{Host: "front-1", PeerAddress: "10.0.0.1:7720"}
	credentials, err := loadCredentials(t.Context(), store, settings, discardLogger())
	is.NoErr(err)
	is.Equal(credentials.Name(), "front-1")
}
