package berylonce

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"berylroad.example/berylroad/internal/beryloutcome"
)

// openRun is a request for which a host issued a Ticket and whose run has not ended. The run may not have started yet.
type openRun struct {
	ticket  Ticket
	host    string
	key     string
	never   bool
	started bool
}

// unrecordedAnswer is an answer that was given to a caller while its record is still queued on a host.
type unrecordedAnswer struct {
	host, body string
}

// model applies random steps to a fleet and tracks what must hold.
type model struct {
	*fleet
	open []openRun
	// runs counts, by never-repeat key, the runs that may have happened.
	runs map[string]int
	// given is the body of the answer that a caller got for each never-repeat key.
	given map[string]string
	// recorded is the body of the answer of each key whose record is in stateDone.
	recorded   map[string]string
	unrecorded map[string]unrecordedAnswer
	// presumedDead holds each host and key for which other hosts considered the host dead at some time since its claim.
	presumedDead map[[2]string]bool
	finishes     int
	// dropped is set once the queue of a host had no room for a final record.
	dropped bool
}

// TestModel checks, under crashes, pauses, lost writes and delayed writes, that a never-repeat request runs at most
// once, that an answer once given never changes, and that every key becomes usable again once all faults are over.
func TestModel(t *testing.T) {
	setDefault(t, "rapid.seed", "1")
	setDefault(t, "rapid.checks", "3000")
	rapid.Check(t, func(t *rapid.T) {
		pending := rapid.SampledFrom([]int{2, 100}).Draw(t, "pending")
		m := &model{
			fleet: newFleet(Config{MaxPending: pending, MaxClaimAge: time.Hour}, "a", "b", "c"),
			runs:  map[string]int{}, given: map[string]string{}, recorded: map[string]string{}, unrecorded: map[string]unrecordedAnswer{},
			presumedDead: map[[2]string]bool{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin":  m.beginRequest,
			"again":  m.beginRequest,
			"start":  m.startRun,
			"finish": m.finishRun,
			"fault":  m.toggleFault,
			"host":   m.changeHost,
			"heal":   func(*rapid.T) { m.endFaults() },
			"write":  func(t *rapid.T) { m.hosts[m.host(t)].writeQueue(t.Context()) },
			"":       m.check,
		})
		m.settle(t)
	})
}

// setDefault sets a test flag that the command line leaves unset, so that the test is the same on every run without
// flags.
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

// beginRequest begins a request under one of four keys on a random host.
func (m *model) beginRequest(t *rapid.T) {
	m.request(t, m.host(t), rapid.SampledFrom([]string{"never-1", "never-2", "may-1", "may-2"}).Draw(t, "key"))
}

// request begins a request and checks the answer that it replays.
func (m *model) request(t *rapid.T, host, key string) Decision {
	never := key[0] == 'n'
	failed := m.store.faulted
	d := m.hosts[host].Begin(t.Context(), intentFor(key, "body", never))
	if d.Run != nil {
		m.presumedDead[[2]string{host, key}] = m.gone[host]
		m.open = append(m.open, openRun{ticket: d.Run, host: host, key: key, never: never})
	}
	if d.Replay != nil {
		m.recordAnswer(t, openRun{host: host, key: key, never: never}, string(d.Replay.Body), m.store.faulted > failed)
	}
	return d
}

// startRun starts the run of a random open ticket if the ticket still permits it, at once or after a pause of two
// hours.
func (m *model) startRun(t *rapid.T) {
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

// finishRun ends a random open run with a random result.
func (m *model) finishRun(t *rapid.T) {
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
	failed := m.store.faulted
	refusal := run.ticket.Finish(t.Context(), beryloutcome.Result{Kind: kind}, Answer{Status: 200, Body: []byte(body)})
	if kind == beryloutcome.Answered && refusal == nil {
		m.recordAnswer(t, run, body, m.store.faulted > failed)
	}
}

// recordAnswer records that an answer was given to a caller, and fails if another one was given before. Only the answer
// to a repeatable request may differ, and only if its record could not be written by a host that others considered dead
// meanwhile.
func (m *model) recordAnswer(t *rapid.T, run openRun, body string, failed bool) {
	host, key := run.host, run.key
	if !run.never && failed && m.presumedDead[[2]string{host, key}] {
		return
	}
	if recorded, ok := m.recorded[key]; ok && recorded != body {
		t.Fatalf("%s was answered %q, then %q", key, recorded, body)
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

// toggleFault starts or ends a fault of the store.
func (m *model) toggleFault(t *rapid.T) {
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

// changeHost crashes a host or changes whether others consider it dead. Its unrecorded answers may be lost.
func (m *model) changeHost(t *rapid.T) {
	host := m.host(t)
	for key, answer := range m.unrecorded {
		if answer.host == host {
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
		for claim := range m.presumedDead {
			m.presumedDead[claim] = m.presumedDead[claim] || claim[0] == host
		}
	default:
		m.gone[host] = false
	}
}

// endFaults ends the store's faults, applies its delayed writes and clears gone, so that no running host is considered
// dead.
func (m *model) endFaults() {
	m.store.down, m.store.loseAnswers, m.store.dropWrites, m.store.delayWrites = false, 0, 0, 0
	m.store.applyDelayedWrites()
	clear(m.gone)
}

// check compares the records with the answers given and the runs counted.
func (m *model) check(t *rapid.T) {
	for _, manager := range m.hosts {
		m.dropped = m.dropped || manager.counters.droppedRecords.Get() > 0
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
		recorded, done := m.recorded[found.Key]
		switch {
		case !done && found.State == stateDone:
			m.recorded[found.Key] = string(found.Answer.Body)
			if answer, ok := m.unrecorded[found.Key]; ok && answer.body != m.recorded[found.Key] {
				t.Fatalf("%s was answered %q and recorded as %q", found.Key, answer.body, m.recorded[found.Key])
			}
		case done && (found.State != stateDone || string(found.Answer.Body) != recorded):
			t.Fatalf("%s was done with %q and changed", found.Key, recorded)
		}
	}
}

// settle ends all faults and runs. A request under any key must then run, get the recorded answer or be refused with
// CodeUnknown, unless a host's queue had no room for a final record.
func (m *model) settle(t *rapid.T) {
	m.endFaults()
	for len(m.open) > 0 {
		m.finish(t, 0, beryloutcome.NotRun)
	}
	for _, manager := range m.hosts {
		if !manager.writeQueue(t.Context()) {
			t.Fatal("a final record is not written although the store works")
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
