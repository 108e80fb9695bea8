package berylgate

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// requestMetrics counts requests; its series are made once for each combination of labels.
type requestMetrics struct {
	set    *metrics.Set
	panics *metrics.Counter
	series sync.Map // of labels to *series
}

type labels struct {
	route string
	class string
	code  string
}

type series struct {
	requests  *metrics.Counter
	firstByte *metrics.Histogram
	whole     *metrics.Histogram
}

func newRequestMetrics(set *metrics.Set, inFlight func() float64) *requestMetrics {
	if set == nil {
		set = metrics.NewSet()
	}
	set.GetOrCreateGauge("berylroad_gate_in_flight", inFlight)
	return &requestMetrics{set: set, panics: set.GetOrCreateCounter("berylroad_gate_panics_total")}
}

// count adds one ended request.
func (m *requestMetrics) count(x *exchange, code string) {
	s := m.seriesFor(labels{route: x.route, class: x.class, code: code})
	s.requests.Inc()
	s.whole.Update(time.Since(x.started).Seconds())
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
		whole:     m.set.GetOrCreateHistogram("berylroad_gate_seconds" + times),
	}
	m.series.Store(l, s)
	return s
}
