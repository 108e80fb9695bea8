package berylquarantine_test

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
	"berylroad.example/berylroad/internal/berylquarantine"
	"berylroad.example/berylroad/internal/berylroute"
)

var errUnreachable = errors.New("unreachable")

// TestQuarantine runs the scripts in testdata/fleet: hosts that share a store see upstreams crash and admit or refuse prompts.
func TestQuarantine(t *testing.T) {
	datadriven.Walk(t, "testdata/fleet", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{hosts: make(map[string]*fleetHost)}
			datadriven.RunTest(t, path, f.run)
			f.stop()
		})
	})
}

// fleet is a number of hosts on fake time.
type fleet struct {
	store berylfake.MemoryStore
	mu    sync.Mutex
	hosts map[string]*fleetHost
}

type fleetHost struct {
	*berylquarantine.Quarantine
	fleet    *fleet
	name     string
	cut      bool // from all other hosts
	stop     context.CancelFunc
	finished chan struct{}
	// listening names the upstreams that still listen after they have broken calls off.
	listening map[string]bool
	// asked counts the messages to each other host.
	asked map[string]int
}

// run executes one command. host= names one host, or several joined by "+".
func (f *fleet) run(t *testing.T, d *datadriven.TestData) string {
	names := split(scanString(t, d, "host", ""))
	parts := split(scanString(t, d, "parts", ""))
	prompt := berylquarantine.Prompt{Parts: parts}
	if item := scanString(t, d, "item", ""); item != "" {
		prompt.Item = berylquarantine.ItemKey("j", item)
	}
	var out strings.Builder
	switch d.Cmd {
	case "start":
		for _, name := range names {
			f.start(name)
		}
		synctest.Wait()
	case "stop":
		for _, name := range names {
			f.remove(name)
		}
	case "cut", "join":
		for _, name := range names {
			f.setCut(name, d.Cmd == "cut")
		}
	case "store":
		f.setStoreFault(scanString(t, d, "fault", "none"))
	case "crash":
		f.crash(t, d, names, prompt)
	case "answer":
		for _, name := range names {
			f.hosts[name].RecordBegin(service, prompt)
		}
		synctest.Wait()
	case "not-run":
		for _, name := range names {
			f.hosts[name].RecordNotRun(prompt)
		}
	case "admit":
		for _, name := range names {
			answer := f.hosts[name].admit(t, prompt)
			synctest.Wait()
			if d.HasArg("brief") { // without the time that follows from a watch which runs beside
				answer, _, _ = strings.Cut(answer, ",")
			}
			fmt.Fprintf(&out, "%s: %s\n", name, answer)
		}
	case "lift":
		verdict := berylquarantine.Verdict{Parts: parts}
		if err := f.hosts[names[0]].Lift(verdict.Key()); err != nil {
			return err.Error() + "\n"
		}
		time.Sleep(time.Second)
	case "status":
		for _, name := range names {
			fmt.Fprintf(&out, "%s:%s\n", name, showStatus(f.hosts[name].Status()))
		}
	case "wait":
		time.Sleep(scanDuration(t, d, "for", 0))
	default:
		t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
	}
	return out.String()
}

func (f *fleet) setCut(name string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[name].cut = cut
}

func split(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == '+' })
}

func (f *fleet) start(name string) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := &fleetHost{fleet: f, name: name, finished: make(chan struct{}), listening: make(map[string]bool), asked: make(map[string]int)}
	h.Quarantine = berylquarantine.New(berylquarantine.Config{
		Host: name, Store: &f.store, Peers: h, Rank: h.rank, Log: log,
		HasCrashed: func(_ context.Context, u berylroute.Upstream) bool { return !h.listening[u.ID] },
	})
	f.mu.Lock()
	f.hosts[name] = h
	f.mu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	go func() {
		defer close(h.finished)
		h.Run(ctx)
	}()
}

func (f *fleet) remove(name string) {
	f.hosts[name].stop()
	<-f.hosts[name].finished
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.hosts, name)
}

func (f *fleet) stop() {
	for name := range f.hosts {
		f.remove(name)
	}
}

// rank orders the hosts by their names, whatever the key.
func (h *fleetHost) rank(string) int {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	n := 0
	for name := range h.fleet.hosts {
		if name < h.name {
			n++
		}
	}
	return n
}

// Others returns the other hosts, those that are cut off included: membership takes seconds to notice.
func (h *fleetHost) Others() []string {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	var names []string
	for name := range h.fleet.hosts {
		if name != h.name {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (h *fleetHost) Ask(ctx context.Context, host string, message berylquarantine.Message) (berylquarantine.Evidence, error) {
	h.fleet.mu.Lock()
	peer := h.fleet.hosts[host]
	unreachable := h.cut || peer == nil || peer.cut
	h.asked[host]++
	h.fleet.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return berylquarantine.Evidence{}, errUnreachable
	}
	return peer.HandleMessage(ctx, h.name, message)
}

func (f *fleet) setStoreFault(name string) {
	faults := map[string]berylfake.MemoryStoreFault{"refuses": berylfake.StoreRefuses, "loses-answer": berylfake.StoreLosesAnswer}
	fault, faulty := faults[name]
	if !faulty {
		f.store.SetFault(nil)
		return
	}
	f.store.SetFault(func(call, _ string) berylfake.MemoryStoreFault {
		if fault == berylfake.StoreLosesAnswer && call != "commit" {
			return berylfake.StoreHealthy
		}
		return fault
	})
}

// crash lets an upstream break off a call of each of the hosts that was sent 50 ms before, and waits until they have asked
// each other.
func (f *fleet) crash(t *testing.T, d *datadriven.TestData, names []string, prompt berylquarantine.Prompt) {
	id := scanString(t, d, "upstream", "")
	time.Sleep(50 * time.Millisecond)
	for _, name := range names {
		h := f.hosts[name]
		h.listening[id] = d.HasArg("listening")
		h.RecordBreak(berylroute.Upstream{ID: id, Service: service}, prompt, time.Now().Add(-50*time.Millisecond))
	}
	time.Sleep(scanDuration(t, d, "settle", 100*time.Millisecond))
}

func (h *fleetHost) admit(t *testing.T, prompt berylquarantine.Prompt) string {
	refusal := h.Refusal(prompt)
	if refusal == nil {
		refusal = h.Admit(t.Context(), prompt)
	}
	if refusal == nil {
		return "sent"
	}
	return fmt.Sprintf("%d %s, again in %v", refusal.Status, refusal.Code, refusal.RetryAfter.Round(100*time.Millisecond))
}

func showStatus(list []berylquarantine.Status) string {
	var b strings.Builder
	for _, s := range list {
		fmt.Fprintf(&b, " %s by %s stored=%v trials=%d", strings.Join(s.Parts, "+"), s.Host, s.Stored, s.Trials)
	}
	return b.String()
}

// Guards against the cost of an inquiry at one host growing with the fleet, and against hosts behind a lost one being left out.
func TestInquiryInALargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts = 100
		prompt := berylquarantine.Prompt{Parts: []string{"p"}}
		f := &fleet{hosts: make(map[string]*fleetHost)}
		defer f.stop()
		for i := range hosts {
			f.start(fmt.Sprintf("h%03d", i))
		}
		f.setCut("h011", true)
		first := f.hosts["h000"]
		for i := range 3 {
			for _, h := range f.hosts {
				h.RecordBegin(service, berylquarantine.Prompt{Parts: []string{"q"}})
			}
			time.Sleep(time.Second)
			first.RecordBreak(berylroute.Upstream{ID: fmt.Sprint(i), Service: service}, prompt, time.Now())
			time.Sleep(time.Second)
		}
		for name, h := range f.hosts {
			if name != "h011" && h.Refusal(prompt) == nil {
				t.Errorf("%s does not know the verdict", name)
			}
		}
		asked := 0
		for _, n := range first.asked {
			asked += n
		}
		// Four messages: three inquiries and the verdict, to 10 hosts each and to the nine behind the one that is cut off.
		if want := 4 * (10 + 9); asked > want {
			t.Errorf("one host has sent %d messages; want at most %d", asked, want)
		}
	})
}
