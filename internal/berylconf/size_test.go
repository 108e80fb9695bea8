package berylconf_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/klauspost/compress/zstd"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/berylkey"
)

// newDocument returns a configuration with the given numbers of hosts, upstreams and callers.
func newDocument(hosts, upstreams, callers int) *berylconf.Document {
	d := &berylconf.Document{Revision: 1_000, Rules: berylconf.Rules{}.WithDefaults()}
	domain := func(i int) string { return fmt.Sprintf("region-%d-domain-%d", i%2, i%7) }
	for i := range hosts {
		d.Inventory.Hosts = append(d.Inventory.Hosts, berylconf.Host{
			Name: fmt.Sprintf("host-%d", i), Region: fmt.Sprintf("region-%d", i%2), FailureDomain: domain(i),
			PeerAddress: fmt.Sprintf("10.0.%d.%d:7443", i/256, i%256),
		})
	}
	for i := range upstreams {
		d.Inventory.Upstreams = append(d.Inventory.Upstreams, berylconf.Upstream{
			Name: fmt.Sprintf("engine-%d", i), URL: fmt.Sprintf("http://10.1.%d.%d:8000", i/256, i%256),
			Region: fmt.Sprintf("region-%d", i%2), FailureDomain: domain(i), Models: []string{fmt.Sprintf("model-%d", i%5)}, Slots: 156, Resume: true,
		})
	}
	for i := range callers {
		_, hash := berylkey.NewCallerKey()
		d.Inventory.Callers = append(d.Inventory.Callers, berylconf.Caller{Name: fmt.Sprintf("caller-%d", i), KeyHash: hash, RequestsPerSecond: 10})
	}
	return d
}

// BenchmarkConfiguration measures time, heap and size of parsing a small configuration, one of the users' current size and one
// of their planned size. docs/CAPACITY.md quotes the results.
func BenchmarkConfiguration(b *testing.B) {
	for _, size := range []struct{ hosts, upstreams, callers int }{{6, 20, 20}, {105, 150, 925}, {420, 600, 3700}} {
		b.Run(fmt.Sprintf("%d-%d-%d", size.hosts, size.upstreams, size.callers), func(b *testing.B) {
			data, err := berylconf.Encode(newDocument(size.hosts, size.upstreams, size.callers))
			if err != nil {
				b.Fatal(err)
			}
			encoder, err := zstd.NewWriter(nil)
			if err != nil {
				b.Fatal(err)
			}
			defer encoder.Close()
			var before, after runtime.MemStats
			var document *berylconf.Document
			for b.Loop() {
				if document, err = berylconf.Parse("bench", data); err != nil {
					b.Fatal(err)
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(document)
			document = nil
			runtime.GC()
			runtime.ReadMemStats(&before)
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/1024, "KB-heap")
			b.ReportMetric(float64(len(data)), "bytes")
			b.ReportMetric(float64(len(encoder.EncodeAll(data, nil))), "bytes-zstd")
		})
	}
}
