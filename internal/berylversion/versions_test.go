package berylversion_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/berylroute"
	"berylroad.example/berylroad/internal/berylversion"
)

var errUnreachable = errors.New("unreachable")

// TestVersions runs the scripts in testdata/fleet: hosts that share a store see upstreams of several versions, note where
// streams began, and resolve the streams that callers take up.
func TestVersions(t *testing.T) {
	datadriven.Walk(t, "testdata/fleet", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{hosts: make(map[string]*fleetHost)}
			datadriven.RunTest(t, path, f.run)
			for _, h := range f.hosts {
				h.kill()
			}
			time.Sleep(time.Second) // messages under way run until their timeout
		})
	})
}

// fleet is a number of hosts on fake time.
type fleet struct {
	store     berylfake.MemoryStore
	mu        sync.Mutex
	hosts     map[string]*fleetHost
	upstreams []berylroute.Upstream
}

type fleetHost struct {
	*berylversion.Versions
	fleet    *fleet
	name     string
	registry berylroute.Registry
	routes   berylroute.CurrentConfig
	stop     context.CancelFunc
	finished chan struct{}

	mu sync.Mutex
	// staleSince is when the host's copy of the announcements became stale, or zero.
	staleSince time.Time
	cut        bool
	// outdated is set if newer routes may be in force than those that the host knows.
	outdated bool
}

func (f *fleet) run(t *testing.T, d *datadriven.TestData) string {
	var out strings.Builder
	for _, name := range argument(t, d, "host") {
		switch d.Cmd {
		case "start":
			f.start(name)
		case "kill":
			f.hosts[name].kill()
			f.mu.Lock()
			delete(f.hosts, name)
			f.mu.Unlock()
		case "cut", "stale", "fresh":
			f.hosts[name].set(d.Cmd)
		case "routes":
			f.hosts[name].setOutdated(d.HasArg("outdated"))
		case "begin":
			id, version := argument(t, d, "id")[0], argument(t, d, "version")[0]
			f.hosts[name].Record(berylversion.Origin{Service: "s", Version: version}, id)
		case "choose":
			fmt.Fprintf(&out, "%s: %s\n", name, f.hosts[name].choose())
		case "resolve":
			began := time.Now()
			origin, source := f.hosts[name].Resolve(t.Context(), []string{"s"}, argument(t, d, "id")[0])
			fmt.Fprintf(&out, "%s: %q by %s", name, origin.Version, source)
			if waited := time.Since(began); waited > 0 {
				fmt.Fprintf(&out, " after %v", waited)
			}
			out.WriteString("\n")
		}
	}
	switch d.Cmd {
	case "announce", "gone":
		f.announce(argument(t, d, "version")[0], d.Cmd == "gone")
	case "store":
		f.setStoreAway(d.HasArg("away"))
	case "wait":
		pause, err := time.ParseDuration(argument(t, d, "for")[0])
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(pause)
	}
	synctest.Wait()
	return out.String()
}

// argument returns the values of an argument, which are joined by "+".
func argument(t *testing.T, d *datadriven.TestData, name string) []string {
	if !d.HasArg(name) {
		return nil
	}
	var value string
	d.ScanArgs(t, name, &value)
	return strings.Split(value, "+")
}

func (f *fleet) start(name string) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, stop := context.WithCancel(context.Background())
	h := &fleetHost{fleet: f, name: name, stop: stop, finished: make(chan struct{})}
	h.registry.Log = log
	h.routes.State = h.routesState
	h.routes.Install(&berylroute.Config{Version: 1, Routes: []berylroute.Route{{Kind: berylroute.Streaming, Resumable: true, Timeout: 5 * time.Second}}})
	f.mu.Lock()
	for _, u := range f.upstreams {
		h.registry.Put(u)
	}
	f.hosts[name] = h
	f.mu.Unlock()
	h.Versions = berylversion.New(berylversion.Config{
		Store: &f.store, Upstreams: &h.registry, CopiedAt: h.copiedAt, StoreAway: func() bool { return h.Follower().Unavailable() },
		Routes: &h.routes, Peers: h, Rank: func(string) int { return slices.Index(f.names(), name) }, Log: log,
	})
	go func() {
		defer close(h.finished)
		h.Run(ctx)
	}()
}

func (h *fleetHost) setOutdated(outdated bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outdated = outdated
}

func (h *fleetHost) routesState() berylroute.CopyState {
	h.mu.Lock()
	defer h.mu.Unlock()
	return berylroute.CopyState{Stale: h.outdated}
}

func (f *fleet) names() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.hosts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// announce announces an upstream of a version to all hosts, or removes it.
func (f *fleet) announce(version string, gone bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := berylroute.Upstream{ID: "u-" + version, Service: "s", Version: version, Slots: 8}
	f.upstreams = slices.DeleteFunc(f.upstreams, func(other berylroute.Upstream) bool { return other.ID == u.ID })
	if !gone {
		f.upstreams = append(f.upstreams, u)
	}
	for _, h := range f.hosts {
		if gone {
			h.registry.Remove(time.Now(), time.Time{}, u.ID)
		} else {
			h.registry.Put(u)
		}
	}
}

func (f *fleet) setStoreAway(away bool) {
	if !away {
		f.store.SetFault(nil)
		return
	}
	f.store.SetFault(func(string, string) berylfake.MemoryStoreFault { return berylfake.StoreRefuses })
}

func (h *fleetHost) kill() {
	h.stop()
	<-h.finished
}

func (h *fleetHost) set(state string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch state {
	case "cut":
		h.cut = true
	case "stale":
		h.staleSince = time.Now()
	case "fresh":
		h.staleSince = time.Time{}
	}
}

func (h *fleetHost) copiedAt() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.staleSince.IsZero() {
		return time.Now()
	}
	return h.staleSince
}

func (h *fleetHost) isCut() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cut
}

// choose lists the versions at which new streams begin.
func (h *fleetHost) choose() string {
	chosen := make(map[string]bool)
	for range 100 {
		version, _, err := h.Choose("s")
		if err != nil {
			return err.Error()
		}
		chosen[version] = true
	}
	var list []string
	for version := range chosen {
		list = append(list, version)
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}

// Keepers implements berylversion.Peers with the first hosts by name.
func (h *fleetHost) Keepers(_ string, n int) []string {
	names := slices.DeleteFunc(h.fleet.names(), func(name string) bool { return name == h.name })
	return names[:min(n, len(names))]
}

// Exchange implements berylversion.Peers.
func (h *fleetHost) Exchange(ctx context.Context, host string, message berylversion.Message) (berylversion.Reply, error) {
	time.Sleep(time.Millisecond)
	h.fleet.mu.Lock()
	other := h.fleet.hosts[host]
	h.fleet.mu.Unlock()
	if other == nil || other.isCut() || h.isCut() {
		<-ctx.Done()
		return berylversion.Reply{}, errUnreachable
	}
	return other.HandleMessage(ctx, h.name, message)
}
