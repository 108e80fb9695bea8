package berylbatch

import (
	"bufio"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylrelay"
	"berylroad.example/berylroad/internal/berylroute"
)

const (
	// maxPendingPermits is for how many items at once this host waits for permits of one service. In a large fleet it is fewer, down
	// to leastAsking, so that all hosts together wait for about fleetAsking.
	maxPendingPermits   = 16
	minPendingPermits   = 4
	fleetPendingPermits = 128
	// permitTimeout is how long an ask for a permit waits before it is made anew with what is then most urgent.
	permitTimeout = 30 * time.Second
	// itemStallTimeout is how long a call may be silent before the item goes on elsewhere.
	itemStallTimeout = 2500 * time.Millisecond
	// itemBackoff is the wait after a failed call, times the failures so far.
	itemBackoff = 200 * time.Millisecond
	// maxItemBackoff bounds it.
	maxItemBackoff = 2 * time.Second
	// dispatchInterval is how often waiting items are looked at without another reason.
	dispatchInterval = 250 * time.Millisecond
	// retentionMargin keeps an item beyond its retention, since hosts' clocks differ.
	retentionMargin = 2 * time.Second
	// itemReadBuffer is the read buffer of one call.
	itemReadBuffer = 4 << 10
	// maxItemText bounds the text of one item, in bytes: a result has to fit into one value of the store, in base64 and
	// beside its job's other fields.
	maxItemText = 512 << 10
)

var (
	errJobEnded       = errors.New("the job was ended or lost")
	errYielded        = errors.New("online work needs the slot")
	errStalled        = errors.New("the upstream fell silent")
	errPermanent      = errors.New("the item can never be done")
	errUpstreamFailed = errors.New("the upstream failed the item")
	errNotRun         = errors.New("the upstream refused the item unrun")
	errMisdirected    = errors.New("another upstream is at the address")
	errTextTooLong    = errors.Newf("the item's text is over %d bytes", maxItemText)
)

// runItem makes one call for an item and notes what it has come to.
func (m *Manager) runItem(ctx context.Context, cancel context.CancelCauseFunc, it *item, permit *berylpermit.Permit) {
	began := time.Now()
	report := berylpermit.Report{Kind: beryloutcome.Unknown}
	yielding := make(chan struct{})
	go func() {
		defer close(yielding)
		select {
		case <-permit.Yield:
			cancel(errYielded)
		case <-ctx.Done():
		}
	}()
	from := it.events
	status, err := m.callItem(ctx, cancel, it, permit, &report)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	cancel(nil)
	<-yielding
	report.HeldFor = time.Since(began)
	if report.Tokens > 1 {
		report.InterTokenLatency = (report.HeldFor - report.TimeToFirstToken) / time.Duration(report.Tokens)
		m.mu.Lock()
		m.estimator.observeGap(report.InterTokenLatency)
		m.mu.Unlock()
	}
	m.finishCall(it, status, err, &report)
	m.countCall(report.Kind)
	permit.Release(report)
	fields := logrus.Fields{
		"job": it.job.id, "item": it.ID, "upstream": permit.Upstream, "from-event": from, "events": it.events,
		"busy-ms": report.HeldFor.Milliseconds(), "outcome": report.Kind.String(),
	}
	if status != 0 {
		fields["status"] = status
	}
	if err != nil {
		fields["cause"] = err.Error()
	}
	m.Log.WithFields(fields).Info("item: call ended")
}

// callItem makes one call and adds what arrives to the item's text.
func (m *Manager) callItem(ctx context.Context, cancel context.CancelCauseFunc, it *item, permit *berylpermit.Permit, report *berylpermit.Report) (int, error) {
	upstream, known := m.Fleet.Get(permit.Upstream)
	if !known || upstream.Leaving {
		return 0, errNotRun
	}
	began := time.Now()
	stall := time.AfterFunc(itemStallTimeout, func() { cancel(errStalled) })
	defer stall.Stop()
	reply, err := m.Caller.Call(ctx, &berylrelay.Call{
		Upstream:    upstream,
		ID:          it.ID,
		Method:      http.MethodPost,
		Path:        it.Path,
		Host:        it.host,
		Header:      it.Header,
		Body:        it.Body,
		Resume:      it.events > 0,
		ResumeAfter: it.last,
	})
	if err != nil {
		return 0, err
	}
	defer reply.Body.Close()
	switch {
	case reply.Misdirected:
		return reply.Status, errors.Mark(errMisdirected, errNotRun)
	case reply.NotRun:
		return reply.Status, errNotRun
	case reply.Status == http.StatusUnprocessableEntity && reply.Signed:
		return reply.Status, errPermanent
	case reply.Status != http.StatusOK || !reply.Signed || !reply.EventStream:
		return reply.Status, errUpstreamFailed
	}
	events := berylrelay.EventReader{Reader: bufio.NewReaderSize(reply.Body, itemReadBuffer)}
	for {
		event, err := events.Next()
		if berylrelay.IsCleanEOF(err) {
			if len(events.Rest()) > 0 || it.events == 0 {
				return reply.Status, errors.New("the stream ended within an event or before the first")
			}
			return reply.Status, nil
		}
		if err != nil {
			return reply.Status, err
		}
		m.mu.Lock()
		added, err := it.appendEvent(&event)
		if errors.Is(err, errTextTooLong) {
			it.discardText() // which of the calls went wrong is not known
		}
		m.mu.Unlock()
		if err != nil {
			return reply.Status, err
		}
		if !added {
			continue // no progress: an upstream that sends nothing else has stalled
		}
		stall.Reset(itemStallTimeout)
		if report.TimeToFirstToken == 0 {
			report.TimeToFirstToken = time.Since(began)
		}
		report.Tokens++
	}
}

// appendEvent appends an event and says whether it is a new one; a gap is an error. The caller holds mu.
func (it *item) appendEvent(event *berylrelay.Event) (bool, error) {
	if !event.HasID {
		return false, nil
	}
	if it.events > 0 && event.ID <= it.last {
		return false, nil
	}
	if it.events > 0 && event.ID != it.last+1 {
		return false, errors.Newf("event %d after event %d", event.ID, it.last)
	}
	if len(it.text)+1+len(event.Data) > maxItemText {
		return false, errTextTooLong
	}
	if it.events > 0 {
		it.text = append(it.text, '\n')
	}
	it.text = append(it.text, event.Data...)
	it.last = event.ID
	it.events++
	return true, nil
}

// discardText drops what has arrived, so that the next call begins anew. The caller holds mu.
func (it *item) discardText() {
	it.text, it.events, it.last = nil, 0, 0
}

// finishCall notes how a call ended: the item is finished, given up or waits for its next call.
func (m *Manager) finishCall(it *item, status int, err error, report *berylpermit.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	it.running, it.cancel = false, nil
	j := it.job
	switch {
	case err == nil:
		report.Kind = beryloutcome.Answered
		m.estimator.observeItem(it.events)
		m.finishItem(it, Completed)
		return
	case errors.Is(err, errYielded), errors.Is(err, errJobEnded), errors.Is(err, context.Canceled):
		report.Kind = beryloutcome.Yielded
		return
	case errors.Is(err, errPermanent):
		report.Kind = beryloutcome.Answered
		m.finishItem(it, Abandoned)
		return
	case errors.Is(err, errNotRun), errors.Is(err, berylrelay.ErrUnsent):
		report.Kind = beryloutcome.NotRun
		report.Refused = status != 0
		report.Fault = errors.Is(err, berylrelay.ErrUnsent) || errors.Is(err, errMisdirected)
	case errors.Is(err, errUpstreamFailed) && status == http.StatusInternalServerError:
		report.Kind = beryloutcome.Failed
		it.serverErrors++
		if route := m.routeOf(j); route != nil && it.serverErrors >= route.Attempts() {
			m.finishItem(it, Abandoned)
			return
		}
	default:
		report.Kind = beryloutcome.Unknown
		report.Fault = true
	}
	it.failedCalls++
	it.notBefore = time.Now().Add(min(itemBackoff*time.Duration(it.failedCalls), maxItemBackoff))
}

// finishItem puts an item's result in line; the caller holds mu.
func (m *Manager) finishItem(it *item, state State) {
	if it.ended || !slices.Contains(it.job.items, it) {
		return // the job was lost, or lost and taken back, meanwhile
	}
	it.job.finish(it, state)
	m.signal(m.wakeCommit)
}

func (m *Manager) routeOf(j *job) *berylroute.Route {
	config := m.Routes.Get()
	if config == nil {
		return nil
	}
	return config.Match(j.record.Host, j.record.Path)
}
