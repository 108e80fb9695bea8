package berylonce

import (
	"context"
	"crypto/sha256"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"berylroad.example/berylroad/internal/beryloutcome"
)

// fleet is several managers on one memory store.
type fleet struct {
	store   *memoryStore
	hosts   map[string]*Manager
	boots   map[string]uint64
	gone    map[string]bool
	tickets map[string]Ticket
	config  Config
}

// newFleet returns a fleet of the named hosts.
func newFleet(config Config, names ...string) *fleet {
	f := &fleet{
		store: newMemoryStore(), hosts: map[string]*Manager{}, boots: map[string]uint64{}, gone: map[string]bool{},
		tickets: map[string]Ticket{}, config: config,
	}
	for _, name := range names {
		f.start(name)
	}
	return f
}

// start starts a new run of the process on a host and replaces the earlier one.
func (f *fleet) start(name string) {
	f.boots[name]++
	config := f.config
	config.Store, config.Host, config.Boot, config.Seed = f.store, name, f.boots[name], 7
	config.Alive = func(host string, boot uint64) bool { return boot == f.boots[host] && !f.gone[host] }
	f.hosts[name] = New(config)
}

// TestScripts runs the scripts in testdata/scripts on fake time.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(Config{MaxAnswerBytes: 64, MaxPending: 2}, "a", "b")
			datadriven.RunTest(t, path, f.run)
		})
	})
}

// run executes one directive of a script.
func (f *fleet) run(t *testing.T, d *datadriven.TestData) string {
	ctx := t.Context()
	host, as, key, body, kind := "a", "t", "k", "", "answered"
	var wait string
	d.MaybeScanArgs(t, "host", &host)
	d.MaybeScanArgs(t, "as", &as)
	d.MaybeScanArgs(t, "key", &key)
	d.MaybeScanArgs(t, "body", &body)
	d.MaybeScanArgs(t, "kind", &kind)
	d.MaybeScanArgs(t, "for", &wait)
	switch d.Cmd {
	case "begin":
		return f.begin(ctx, as, host, intentFor(key, body, d.HasArg("never")))
	case "check":
		return describe(f.tickets[as].(StartChecker).Check(ctx, time.Now()), "start")
	case "finish":
		return describe(f.tickets[as].Finish(ctx, resultOf(kind), Answer{Status: 200, Body: []byte(body)}), "finished")
	case "store":
		return f.runStoreDirective(t, d)
	case "sleep":
		span, err := time.ParseDuration(wait)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(span)
	case "crash":
		f.start(host)
	case "gone":
		f.gone[host] = true
	case "back":
		f.gone[host] = false
	case "write-queue":
		return fmt.Sprintf("empty=%t left=%d\n", f.hosts[host].writeQueue(ctx), f.hosts[host].Pending())
	default:
		t.Fatalf("unknown directive %s", d.Cmd)
	}
	return ""
}

// runStoreDirective changes the store's faults, or returns the number of calls since it was last asked.
func (f *fleet) runStoreDirective(t *testing.T, d *datadriven.TestData) string {
	d.MaybeScanArgs(t, "lose", &f.store.loseAnswers)
	d.MaybeScanArgs(t, "cut", &f.store.dropWrites)
	d.MaybeScanArgs(t, "late", &f.store.delayWrites)
	switch {
	case d.HasArg("down"):
		f.store.down = true
	case d.HasArg("up"):
		f.store.down = false
	case d.HasArg("deliver"):
		f.store.applyDelayedWrites()
	case d.HasArg("expire"):
		f.store.expire()
	case d.HasArg("calls"):
		calls := f.store.calls
		f.store.calls = 0
		return fmt.Sprintf("calls=%d\n", calls)
	}
	return ""
}

// begin begins a request and stores its ticket under the given name.
func (f *fleet) begin(ctx context.Context, as, host string, intent Intent) string {
	d := f.hosts[host].Begin(ctx, intent)
	if d.Run != nil {
		f.tickets[as] = d.Run
		return "run\n"
	}
	if d.Replay != nil {
		return fmt.Sprintf("replay %d %s\n", d.Replay.Status, d.Replay.Body)
	}
	return describe(d.Refusal, "nothing")
}

// intentFor returns the intent of a request of a fixed caller.
func intentFor(key, body string, never bool) Intent {
	return Intent{Caller: "canopy", Key: key, BodyHash: sha256.Sum256([]byte(body)), NeverRepeat: never}
}

// resultOf returns the result whose kind has the given name.
func resultOf(kind string) beryloutcome.Result {
	for k := beryloutcome.Answered; k <= beryloutcome.Yielded; k++ {
		if k.String() == kind {
			return beryloutcome.Result{Kind: k}
		}
	}
	panic("unknown kind " + kind)
}

// describe formats a refusal, or returns the given word if there is none.
func describe(r *beryloutcome.Refusal, none string) string {
	if r == nil {
		return none + "\n"
	}
	return fmt.Sprintf("%d %s retry-after=%s\n", r.Status, r.Code, r.RetryAfter)
}
