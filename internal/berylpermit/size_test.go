package berylpermit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

// BenchmarkEncodedSize reports the encoded size of each message, for docs/CAPACITY.md.
func BenchmarkEncodedSize(b *testing.B) {
	id := berylpermit.ID{Host: "host-123", Boot: uint64(time.Hour * 24 * 365 * 50), Seq: 1_000_000}
	load := berylpermit.Load{Upstream: "engine-123", Slots: 156, Online: 120, Batch: 30, Waiting: 3, PredictedWait: time.Second}
	held := func(n int) berylpermit.HeldReport {
		h := berylpermit.HeldReport{Host: id.Host, Boot: id.Boot}
		for range n {
			h.Permits = append(h.Permits, berylpermit.HeldPermit{ID: id, Upstream: "engine-123", Age: 5 * time.Second})
		}
		return h
	}
	for _, message := range []struct {
		name  string
		value any
	}{
		{"ask", berylpermit.Request{ID: id, Target: "some-llm", Prefer: []string{"engine-123", "engine-124"}, Remaining: time.Minute, Tokens: 456, PrefixHash: 1 << 60, Queue: true}},
		{"reply", berylpermit.Reply{ID: id, Verdict: berylpermit.Granted, Upstream: "engine-123", Term: 1, Loads: []berylpermit.Load{load, load}}},
		{"release", berylpermit.Release{ID: id, Upstream: "engine-123", Report: berylpermit.Report{Kind: beryloutcome.Answered, TimeToFirstToken: time.Second, InterTokenLatency: time.Millisecond, Tokens: 456, HeldFor: time.Minute}}},
		{"statement", berylpermit.StatementReport{Upstream: "engine-123", Statement: berylpermit.Statement{Limit: berylpermit.Limit{Known: true, Limited: true, PerSecond: 3.2}, Run: 1 << 40}, SentAge: time.Second}},
		{"held-1", held(1)},
		{"held-10", held(10)},
	} {
		b.Run(message.name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				data, err := cbor.Marshal(message.value)
				if err != nil {
					b.Fatal(fmt.Errorf("%s: %w", message.name, err))
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
