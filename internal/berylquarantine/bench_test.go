package berylquarantine_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"berylroad.example/berylroad/internal/berylquarantine"
)

func benchPrompt(i int) berylquarantine.Prompt {
	return berylquarantine.Prompt{Parts: []string{"190434a17399", fmt.Sprintf("%012x", i%5000), fmt.Sprintf("%012x", i)}}
}

// BenchmarkRecordBegin measures what each begun answer costs.
func BenchmarkRecordBegin(b *testing.B) {
	var table berylquarantine.Table
	prompts := make([]berylquarantine.Prompt, 100_000)
	for i := range prompts {
		prompts[i] = benchPrompt(i)
	}
	now := time.Now()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		table.RecordBegin(now.Add(time.Duration(i)), service, prompts[i%len(prompts)])
	}
}

// BenchmarkMemory measures the largest memory of a table: while no upstream crashes, and when all bounds are reached.
func BenchmarkMemory(b *testing.B) {
	for _, bb := range []struct {
		name    string
		crashes int
	}{{"answers", 0}, {"crashes", 32}} {
		b.Run(bb.name, func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				table := fullTable(bb.crashes)
				b.ReportMetric(float64(heapBytes()-before)/1024, "KB")
				runtime.KeepAlive(table)
			}
		})
	}
}

func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// fullTable returns a table with more begun answers than it keeps and, for each of as many other parts, a number of crashes.
func fullTable(crashes int) *berylquarantine.Table {
	var table berylquarantine.Table
	now := time.Now()
	for i := range 10_000 {
		table.RecordBegin(now, service, benchPrompt(i))
		for k := range crashes {
			at := now.Add(time.Duration(i*crashes+k) * time.Millisecond)
			table.RecordBreak(berylquarantine.Break{
				Crash: fmt.Sprintf("i-%010x/1785153475031", k), Prompt: berylquarantine.Prompt{Parts: []string{fmt.Sprintf("s%011x", i)}},
				SentAt: at, BrokeAt: at.Add(time.Microsecond),
			})
		}
	}
	return &table
}

// BenchmarkMessageSize measures the encoded size of an inquiry about three parts with three crashes each, and of a reply.
func BenchmarkMessageSize(b *testing.B) {
	var table berylquarantine.Table
	now := time.Now()
	prompt := benchPrompt(1)
	for i := range 3 {
		table.RecordBreak(berylquarantine.Break{Crash: fmt.Sprintf("i-%010x/1785153475031", i), Prompt: prompt, SentAt: now.Add(time.Duration(i) * time.Second), BrokeAt: now.Add(time.Duration(i)*time.Second + 50*time.Millisecond)})
	}
	for b.Loop() {
		evidence := table.Evidence(now.Add(4*time.Second), service, prompt.Parts)
		message, err := cbor.Marshal(berylquarantine.Message{Service: service, Parts: prompt.Parts, Evidence: evidence})
		if err != nil {
			b.Fatal(err)
		}
		reply, err := cbor.Marshal(evidence)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(message)), "B/inquiry")
		b.ReportMetric(float64(len(reply)), "B/reply")
	}
}

// BenchmarkRequestKeys measures the keys of a request, by the size of its body in bytes.
func BenchmarkRequestKeys(b *testing.B) {
	for _, size := range []int{1500, 110_000} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			body := make([]byte, size)
			for b.Loop() {
				berylquarantine.RequestKeys("10.0.0.7 ", "POST", "h.example", "/a/b", body)
			}
		})
	}
}
