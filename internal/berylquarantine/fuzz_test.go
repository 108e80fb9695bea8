package berylquarantine

import (
	"io"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/berylstore"
)

func newFuzzQuarantine() *Quarantine {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Config{Host: "h", Store: &berylfake.MemoryStore{}, Rank: func(string) int { return 0 }, Log: log})
}

// use does with a quarantine what a host does.
func use(t *testing.T, q *Quarantine) {
	for _, s := range q.Status() {
		prompt := Prompt{Parts: s.Parts}
		if refusal := q.Refusal(prompt); refusal != nil && refusal.RetryAfter <= 0 {
			t.Errorf("a refusal without Retry-After of the verdict %v", s.Verdict)
		}
		q.RecordBegin("svc", prompt)
	}
	q.unwritten(time.Now())
	q.expireVerdicts(time.Now())
	q.undeleted()
}

// FuzzVerdictRecord reads arbitrary bytes as a verdict in the store.
func FuzzVerdictRecord(f *testing.F) {
	sound := Verdict{Parts: []string{"a", "b"}, Host: "h", DecidedAtMillis: time.Now().UnixMilli(), Crashes: []string{"u/1"}, Trials: 1}
	f.Add(sound.Key(), encode(sound))
	negative := sound
	negative.Trials = -1
	f.Add(negative.Key(), encode(negative))
	f.Add("0", []byte{0xa0})
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		q := newFuzzQuarantine()
		q.reset([]berylstore.Item{{Key: Prefix + key, Value: value, Revision: 1}}, 1)
		use(t, q)
	})
}

// FuzzMessage reads arbitrary bytes as a message of another host.
func FuzzMessage(f *testing.F) {
	for _, m := range []Message{
		{Service: "svc", Parts: []string{"a"}, Evidence: Evidence{Parts: []PartEvidence{{Part: "a", Begun: true, SinceBegun: -time.Hour, Accusations: []Accusation{{Crash: "u", SinceSent: -1 << 63, SinceBroke: 1 << 62}}}}, SinceBegins: []time.Duration{-1, 1 << 62}}},
		{Verdicts: []Verdict{{Parts: []string{"a"}, Trials: -5, DecidedAtMillis: time.Now().UnixMilli()}, {}}, Lifted: []string{"x"}, Forward: []string{"y"}},
	} {
		data, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m Message
		if cbor.Unmarshal(data, &m) != nil {
			return
		}
		q := newFuzzQuarantine()
		if _, err := q.HandleMessage(t.Context(), "peer", m); err != nil {
			t.Error(err)
		}
		use(t, q)
	})
}
