package berylspread_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/beryletcd"
	"berylroad.example/berylroad/internal/berylspread"
)

// platform is the platform's service in memory. Each write is passed to all watches.
type platform struct {
	mu       sync.Mutex
	down     bool
	value    []byte
	revision int64
	reads    int
	watches  []func(beryletcd.Change)
}

func (p *platform) record() []beryletcd.Record {
	if p.revision == 0 {
		return nil
	}
	return []beryletcd.Record{{Value: p.value, Revision: p.revision}}
}

func (p *platform) write(t *testing.T, revision int64) {
	t.Helper()
	data, err := berylconf.Encode(&berylconf.Document{Revision: revision})
	if err != nil {
		t.Fatal(err)
	}
	p.writeRaw(data)
}

func (p *platform) writeRaw(data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.value = data
	p.revision++
	for _, handle := range p.watches {
		handle(beryletcd.Change{Records: p.record()})
	}
}

func (p *platform) Get(context.Context, string) beryletcd.Read {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	if p.down {
		return beryletcd.Read{Status: beryletcd.Unavailable}
	}
	read := beryletcd.Read{Status: beryletcd.Done}
	for _, r := range p.record() {
		read.Record = r
	}
	return read
}

func (p *platform) Watch(ctx context.Context, _ beryletcd.Target, _ int64, handle func(beryletcd.Change)) {
	p.mu.Lock()
	if !p.down {
		handle(beryletcd.Change{Snapshot: true, Records: p.record()})
		p.watches = append(p.watches, handle)
	}
	p.mu.Unlock()
	<-ctx.Done()
	p.mu.Lock()
	p.watches = nil
	p.mu.Unlock()
}

// peers answers pulls from the stores of other hosts.
type peers map[string]*berylconf.Store

func (p peers) Pull(_ context.Context, peer string, above int64) ([]byte, error) {
	store := p[peer]
	if store == nil {
		return nil, errors.New("unreachable")
	}
	document := store.Current()
	if document == nil || document.Revision <= above {
		return nil, berylspread.ErrNotNewer
	}
	return berylconf.Encode(document)
}

// start runs a Syncer until the test ends.
func start(t *testing.T, p *platform, peerStores peers, isWatcher func() bool) (*berylspread.Syncer, *berylconf.Store) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	store := &berylconf.Store{}
	s := berylspread.New(berylspread.Config{
		Store: store, Platform: p, Peers: peerStores, Seeds: []string{"gone", "peer"}, IsWatcher: isWatcher,
		Metrics: metrics.NewSet(), Log: log,
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return s, store
}

func always() bool { return true }
func never() bool  { return false }

func TestWatcherInstallsAtOnceAndNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &platform{}
		_, store := start(t, p, nil, always)
		p.write(t, 3)
		synctest.Wait()
		is.Equal(store.Revision(), int64(3))
		p.write(t, 2) // an older revision, as after a restore of the platform from a backup, must be ignored
		p.writeRaw([]byte("garbage"))
		time.Sleep(5 * time.Minute)
		is.Equal(store.Revision(), int64(3))
	})
}

func TestPullFromPeerWithNewerRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		newer := &berylconf.Store{}
		newer.Install(&berylconf.Document{Revision: 9})
		p := &platform{}
		p.write(t, 4)
		s, store := start(t, p, peers{"ahead": newer}, never)
		s.NotePeerRevision("gone", 8)
		s.NotePeerRevision("ahead", 9)
		synctest.Wait()
		is.Equal(store.Revision(), int64(9))
		time.Sleep(10 * time.Minute)
		is.Equal(store.Revision(), int64(9)) // the platform's older revision 4 must not replace the peer's revision 9
		is.True(p.reads <= 15)               // a host that does not watch must read only about once a minute
	})
}

func TestStartDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		peer := &berylconf.Store{}
		_, store := start(t, &platform{down: true}, peers{"peer": peer}, always)
		time.Sleep(time.Minute)
		is.Equal(store.Current(), nil) // the platform is unreachable and the peer has no configuration yet
		peer.Install(&berylconf.Document{Revision: 6})
		time.Sleep(2 * time.Second)
		is.Equal(store.Revision(), int64(6))
	})
}

func TestRolePasses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var mu sync.Mutex
		watching := false
		p := &platform{}
		p.write(t, 1)
		_, store := start(t, p, nil, func() bool {
			mu.Lock()
			defer mu.Unlock()
			return watching
		})
		time.Sleep(2 * time.Second)
		is.Equal(store.Current(), nil) // the host does not watch and no peer has reported a revision
		mu.Lock()
		watching = true
		mu.Unlock()
		time.Sleep(2 * time.Second)
		is.Equal(store.Revision(), int64(1))
	})
}
