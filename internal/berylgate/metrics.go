package berylgate

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// requestMetrics counts and times requests. The series of each combination of labels are created at its first request.
type requestMetrics struct {
	set    *metrics.Set
	panics *metrics.Counter
	series sync.Map // maps labels to *series
}

type labels struct {
	route string
	class string
	code  string
}

type series struct {
	requests  *metrics.Counter
	firstByte *metrics.Histogram
	duration  *metrics.Histogram
}

func newRequestMetrics(set *metrics.Set, inFlight func() float64) *requestMetrics {
	if set == nil {
		set = metrics.NewSet()
	}
	set.GetOrCreateGauge("berylroad_gate_in_flight", inFlight)
	return &requestMetrics{set: set, panics: set.GetOrCreateCounter("berylroad_gate_panics_total")}
}

// count records a request that has ended.
func (m *requestMetrics) count(x *exchange, code string) {
	s := m.seriesFor(labels{route: x.route, class: x.class, code: code})
	s.requests.Inc()
	s.duration.Update(time.Since(x.started).Seconds())
	if first := x.firstByte.Load(); first > 0 {
		s.firstByte.Update(time.Duration(first).Seconds())
	}
}

func (m *requestMetrics) seriesFor(l labels) *series {
	if s, ok := m.series.Load(l); ok {
		return s.(*series)
	}
	times := fmt.Sprintf("{route=%q,class=%q}", l.route, l.class)
	s := &series{
		requests:  m.set.GetOrCreateCounter(fmt.Sprintf("berylroad_gate_requests_total{route=%q,class=%q,code=%q}", l.route, l.class, l.code)),
		firstByte: m.set.GetOrCreateHistogram("berylroad_gate_first_byte_seconds" + times),
		duration:  m.set.GetOrCreateHistogram("berylroad_gate_seconds" + times),
	}
	m.series.Store(l, s)
	return s
}
