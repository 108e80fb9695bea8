package berylfleet_test

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"berylroad.example/berylroad/internal/berylfleet"
)

// idleSpan is the time over which BenchmarkIdleHosts measures the idle hosts.
const idleSpan = 10 * time.Second

// cpuTime returns the processor time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkIdleHosts reports the cost of each idle host in a fleet: heap, stack, goroutines, processor time and calls
// to the platform.
func BenchmarkIdleHosts(b *testing.B) {
	for _, hosts := range []int{6, 12, 24, 48} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			fleet := startFleet(b, berylfleet.Config{Hosts: hosts, Engines: 4, Slots: 8})
			time.Sleep(5 * time.Second)
			for b.Loop() {
				start, began := cpuTime(b), time.Now()
				time.Sleep(idleSpan)
				share := float64(cpuTime(b)-start) / float64(time.Since(began))
				b.ReportMetric(100*share/float64(hosts), "%core/host")
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(hosts)/1024, "KB-heap/host")
			b.ReportMetric(float64(after.StackInuse)/float64(hosts)/1024, "KB-stack/host")
			b.ReportMetric(float64(runtime.NumGoroutine())/float64(hosts), "goroutines/host")
			b.ReportMetric(float64(fleet.Platform.Calls().Total())/float64(hosts), "platform-calls/host")
		})
	}
}
