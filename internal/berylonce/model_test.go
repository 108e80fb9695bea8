package berylonce

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"berylroad.example/berylroad/internal/beryloutcome"
)

// openRun is a granted ticket whose run has not ended.
type openRun struct {
	ticket  Ticket
	host    string
	key     string
	never   bool
	started bool
}

// unrecordedAnswer is an answer that was given while its record waits in a host's memory.
type unrecordedAnswer struct {
	host, body string
}

// model drives a fleet through random steps and knows what must hold.
type model struct {
	*fleet
	open []openRun
	// runs counts the runs that a never-repeat key may have had.
	runs map[string]int
	// given is the answer of each never-repeat key that was given.
	given map[string]string
	// recorded is the answer of each key whose record is done.
	recorded   map[string]string
	unrecorded map[string]unrecordedAnswer
	// presumedGone holds each host and key for which others took the host for gone at some time since its claim.
	presumedGone map[[2]string]bool
	finishes     int
	// dropped is set once a host had no room for the end of a run.
	dropped bool
}

// TestModel checks, under crashes, pauses, lost and late writes, that a never-repeat request runs at most once, that an
// answer once given never changes, and that no key stays stuck once everything is well again.
func TestModel(t *testing.T) {
	setDefault(t, "rapid.seed", "1")
	setDefault(t, "rapid.checks", "3000")
	rapid.Check(t, func(t *rapid.T) {
		pending := rapid.SampledFrom([]int{2, 100}).Draw(t, "pending")
		m := &model{
			fleet: newFleet(Config{MaxPending: pending, MaxClaimAge: time.Hour}, "a", "b", "c"),
			runs:  map[string]int{}, given: map[string]string{}, recorded: map[string]string{}, unrecorded: map[string]unrecordedAnswer{},
			presumedGone: map[[2]string]bool{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin":  m.beginOne,
			"again":  m.beginOne,
			"start":  m.startOne,
			"finish": m.finishOne,
			"fault":  m.faultOne,
			"host":   m.hostOne,
			"heal":   func(*rapid.T) { m.heal() },
			"write":  func(t *rapid.T) { m.hosts[m.host(t)].writeQueue(t.Context()) },
			"":       m.check,
		})
		m.settle(t)
	})
}

// setDefault sets a test flag unless the command line has, so that every run without it does the same.
func setDefault(t *testing.T, name, value string) {
	f := flag.Lookup(name)
	if f.Value.String() != f.DefValue {
		return
	}
	if err := f.Value.Set(value); err != nil {
		t.Fatal(err)
	}
}

// host draws a host.
func (m *model) host(t *rapid.T) string {
	return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "host")
}

// beginOne begins a request under one of four keys.
func (m *model) beginOne(t *rapid.T) {
	m.request(t, m.host(t), rapid.SampledFrom([]string{"never-1", "never-2", "may-1", "may-2"}).Draw(t, "key"))
}

// request begins a request and checks what it is told.
func (m *model) request(t *rapid.T, host, key string) Decision {
	never := key[0] == 'n'
	failed := m.store.uncertain
	d := m.hosts[host].Begin(t.Context(), intentFor(key, "body", never))
	if d.Run != nil {
		m.presumedGone[[2]string{host, key}] = m.gone[host]
		m.open = append(m.open, openRun{ticket: d.Run, host: host, key: key, never: never})
	}
	if d.Replay != nil {
		m.noteAnswer(t, openRun{host: host, key: key, never: never}, string(d.Replay.Body), m.store.uncertain > failed)
	}
	return d
}

// startOne starts the run of an open ticket where the ticket allows it, at once or after a long pause.
func (m *model) startOne(t *rapid.T) {
	if len(m.open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.open)-1).Draw(t, "open")
	run := &m.open[i]
	if run.started {
		return
	}
	now := time.Now().Add(time.Duration(rapid.SampledFrom([]int{0, 2}).Draw(t, "hours")) * time.Hour)
	if run.ticket.(StartChecker).Check(t.Context(), now) != nil {
		m.open = append(m.open[:i], m.open[i+1:]...)
		return
	}
	run.started = true
	if run.never {
		m.runs[run.key]++
	}
}

// finishOne ends an open run in some way.
func (m *model) finishOne(t *rapid.T) {
	if len(m.open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.open)-1).Draw(t, "open")
	kinds := []beryloutcome.Kind{beryloutcome.NotRun}
	if m.open[i].started {
		kinds = []beryloutcome.Kind{beryloutcome.Answered, beryloutcome.Unknown, beryloutcome.Failed, beryloutcome.NotRun}
	}
	m.finish(t, i, rapid.SampledFrom(kinds).Draw(t, "kind"))
}

// finish ends an open run.
func (m *model) finish(t *rapid.T, i int, kind beryloutcome.Kind) {
	run := m.open[i]
	m.open = append(m.open[:i], m.open[i+1:]...)
	m.finishes++
	body := fmt.Sprintf("answer %d", m.finishes)
	if run.started && run.never && kind == beryloutcome.NotRun {
		m.runs[run.key]--
	}
	failed := m.store.uncertain
	refusal := run.ticket.Finish(t.Context(), beryloutcome.Result{Kind: kind}, Answer{Status: 200, Body: []byte(body)})
	if kind == beryloutcome.Answered && refusal == nil {
		m.noteAnswer(t, run, body, m.store.uncertain > failed)
	}
}

// noteAnswer notes that an answer was given to a caller, and fails when another one was given before. Only a repeatable
// request's answer may differ, and only where its record failed to be written at a host which others took for gone meanwhile.
func (m *model) noteAnswer(t *rapid.T, run openRun, body string, failed bool) {
	host, key := run.host, run.key
	if !run.never && failed && m.presumedGone[[2]string{host, key}] {
		return
	}
	if firm, ok := m.recorded[key]; ok && firm != body {
		t.Fatalf("%s was answered %q, then %q", key, firm, body)
	}
	if !run.never {
		m.unrecorded[key] = unrecordedAnswer{host: host, body: body}
		return
	}
	if given, ok := m.given[key]; ok && given != body {
		t.Fatalf("%s was answered %q, then %q", key, given, body)
	}
	m.given[key] = body
}

// faultOne changes what goes wrong with the store.
func (m *model) faultOne(t *rapid.T) {
	switch rapid.SampledFrom([]string{"down", "up", "lose", "cut", "late", "deliver"}).Draw(t, "fault") {
	case "down":
		m.store.down = true
	case "up":
		m.store.down = false
	case "lose":
		m.store.loseAnswers++
	case "cut":
		m.store.dropWrites++
	case "late":
		m.store.delayWrites++
	default:
		m.store.applyDelayedWrites()
	}
}

// hostOne crashes a host or changes what membership says of it; its answers that are not recorded may be lost with it.
func (m *model) hostOne(t *rapid.T) {
	host := m.host(t)
	for key, soft := range m.unrecorded {
		if soft.host == host {
			delete(m.unrecorded, key)
		}
	}
	switch rapid.SampledFrom([]string{"crash", "gone", "back"}).Draw(t, "event") {
	case "crash":
		m.start(host)
		var open []openRun
		for _, run := range m.open {
			if run.host != host {
				open = append(open, run)
			}
		}
		m.open = open
	case "gone":
		m.gone[host] = true
		for place := range m.presumedGone {
			m.presumedGone[place] = m.presumedGone[place] || place[0] == host
		}
	default:
		m.gone[host] = false
	}
}

// heal ends all faults.
func (m *model) heal() {
	m.store.down, m.store.loseAnswers, m.store.dropWrites, m.store.delayWrites = false, 0, 0, 0
	m.store.applyDelayedWrites()
	clear(m.gone)
}

// check compares the records with what was promised.
func (m *model) check(t *rapid.T) {
	for _, manager := range m.hosts {
		m.dropped = m.dropped || manager.counters.droppedEnds.Get() > 0
	}
	for key, runs := range m.runs {
		if runs > 1 {
			t.Fatalf("%s ran %d times", key, runs)
		}
	}
	for _, r := range m.store.records {
		found, err := decodeRecord(r.Value)
		if err != nil {
			t.Fatal(err)
		}
		firm, done := m.recorded[found.Key]
		switch {
		case !done && found.State == stateDone:
			m.recorded[found.Key] = string(found.Answer.Body)
			if soft, ok := m.unrecorded[found.Key]; ok && soft.body != m.recorded[found.Key] {
				t.Fatalf("%s was answered %q and recorded as %q", found.Key, soft.body, m.recorded[found.Key])
			}
		case done && (found.State != stateDone || string(found.Answer.Body) != firm):
			t.Fatalf("%s was done with %q and changed", found.Key, firm)
		}
	}
}

// settle ends all faults and runs, and then every key must be free, answered or known to be unknown, unless a host had no
// room to remember a key that it held.
func (m *model) settle(t *rapid.T) {
	m.heal()
	for len(m.open) > 0 {
		m.finish(t, 0, beryloutcome.NotRun)
	}
	for _, manager := range m.hosts {
		if !manager.writeQueue(t.Context()) {
			t.Fatal("an end stays unwritten though the store is well")
		}
	}
	m.check(t)
	if m.dropped {
		return
	}
	for _, key := range []string{"never-1", "never-2", "may-1", "may-2"} {
		d := m.request(t, "a", key)
		if d.Refusal != nil && d.Refusal.Code != beryloutcome.CodeUnknown {
			t.Fatalf("%s is stuck: %v", key, d.Refusal)
		}
	}
}
