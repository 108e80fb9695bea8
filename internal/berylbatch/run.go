package berylbatch

import (
	"bufio"
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpath"
	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylrelay"
	"berylroad.example/berylroad/internal/berylresponse"
	"berylroad.example/berylroad/internal/berylroute"
	"berylroad.example/berylroad/internal/berylversion"
)

const (
	// maxPendingPermits is the maximum number of permits of one service that this host requests at once. In a large fleet
	// the maximum is lower, down to minPendingPermits, so that all hosts together request about fleetPendingPermits.
	maxPendingPermits   = 16
	minPendingPermits   = 4
	fleetPendingPermits = 128
	// permitTimeout is how long a permit request waits before it is replaced by a new one for what is most urgent then.
	permitTimeout = 30 * time.Second
	// itemStallTimeout is how long a call may go without a new event before it is cancelled and the item retried.
	itemStallTimeout = 2500 * time.Millisecond
	// itemBackoff is the wait after an item's first failed call; it grows by as much with each further one.
	itemBackoff = 200 * time.Millisecond
	// maxItemBackoff is the longest wait after a failed call.
	maxItemBackoff = 2 * time.Second
	// dispatchInterval is how often dispatchLoop runs when nothing wakes it earlier.
	dispatchInterval = 250 * time.Millisecond
	// retentionMargin is how long after the end of its retention an item is abandoned, since hosts' clocks differ.
	retentionMargin = 2 * time.Second
	// itemReadBuffer is the size of one call's read buffer, in bytes.
	itemReadBuffer = 4 << 10
	// maxItemText bounds the text of one item, in bytes. A result has to fit into one value of the store, encoded in base64
	// and together with its job's other fields.
	maxItemText = 512 << 10
	// firstItemText is the first capacity of an item's text, in bytes.
	firstItemText = 1 << 10
)

var (
	errJobEnded       = errors.New("the job was cancelled or lost to another host")
	errYielded        = errors.New("online work needs the slot")
	errStalled        = errors.New("the upstream fell silent")
	errPermanent      = errors.New("the upstream rejected the item for good")
	errUpstreamFailed = errors.New("the upstream failed the item")
	errNotRun         = errors.New("the upstream did not run the item")
	errMisdirected    = errors.New("another upstream is at the address")
	errTextTooLong    = errors.Newf("the item's text is over %d bytes", maxItemText)
)

// runItem makes one call for an item, records the outcome and releases the permit.
func (m *Manager) runItem(ctx context.Context, cancel context.CancelCauseFunc, it *item, permit *berylpermit.Permit) {
	began := time.Now()
	report := berylpermit.Report{Kind: beryloutcome.Unknown}
	yieldWatchDone := make(chan struct{})
	go func() {
		defer close(yieldWatchDone)
		select {
		case <-permit.Yield:
			cancel(errYielded)
		case <-ctx.Done():
		}
	}()
	from := it.events
	upstream, known := m.Upstreams.Get(permit.Upstream)
	status, err := 0, errNotRun
	if known && !upstream.Leaving {
		status, err = m.callItem(ctx, cancel, it, upstream, permit, &report)
	}
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	cancel(nil)
	<-yieldWatchDone
	report.HeldFor = time.Since(began)
	if report.Tokens > 1 {
		report.InterTokenLatency = (report.HeldFor - report.TimeToFirstToken) / time.Duration(report.Tokens)
		m.mu.Lock()
		m.estimator.observeGap(report.InterTokenLatency)
		m.mu.Unlock()
	}
	events := it.events // another call may begin and change the item once this one has ended
	m.finishCall(it, status, err, &report)
	m.countCall(report.Kind)
	permit.Release(report)
	fields := logrus.Fields{
		"job": it.job.id, "item": it.ID, "upstream": permit.Upstream, "from-event": from, "events": events,
		"busy-ms": report.HeldFor.Milliseconds(), "outcome": report.Kind.String(), "granted-by": permit.GrantedBy, "version": upstream.Version,
	}
	if it.account != "" {
		fields["account"] = it.account
	}
	if status != 0 {
		fields["status"] = status
	}
	if report.Statement.Limit.Limited {
		fields["limit"] = report.Statement.Limit.PerSecond
	}
	if report.Statement.Leaving {
		fields["leaving"] = true
	}
	if err != nil {
		fields["cause"] = err.Error()
	}
	if report.Fault && report.Tokens == 0 && report.Kind == beryloutcome.Unknown && !errors.Is(err, errStalled) {
		m.Quarantine.RecordBreak(upstream, it.prompt, began)
		fields["broke-unanswered"] = true
		fields["prompt-parts"] = strings.Join(it.PromptParts, ",")
	}
	if report.Kind == beryloutcome.NotRun {
		m.Quarantine.RecordNotRun(it.prompt)
	}
	m.Log.WithFields(fields).Info("item: call ended")
}

// callItem makes one call and appends the events it receives to the item's text. It returns the HTTP status, or zero if
// there is none.
func (m *Manager) callItem(ctx context.Context, cancel context.CancelCauseFunc, it *item, upstream berylroute.Upstream, permit *berylpermit.Permit, report *berylpermit.Report) (int, error) {
	if refusal := m.Quarantine.Admit(ctx, it.prompt); refusal != nil {
		return 0, errors.Mark(refusal, errNotRun)
	}
	m.mu.Lock()
	it.beginAt(berylversion.Origin{Service: upstream.Service, Version: upstream.Version})
	m.mu.Unlock()
	began := time.Now()
	stall := time.AfterFunc(itemStallTimeout, func() { cancel(errStalled) })
	defer stall.Stop()
	config := m.Routes.Get()
	reply, err := m.Client.Call(ctx, &berylrelay.Call{
		Upstream:    upstream,
		ID:          it.ID,
		Method:      http.MethodPost,
		Path:        it.Path,
		Host:        it.host,
		Header:      it.Header,
		Body:        it.Body,
		Account:     it.account,
		HasAccounts: config != nil && config.Accounts != nil,
		Resume:      it.events > 0,
		ResumeAfter: it.last,
	})
	if err != nil {
		return 0, err
	}
	defer reply.Body.Close()
	report.Statement = reply.Statement
	permit.ReportStatement(reply.Statement)
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
	memory := m.Memory.NewReservation()
	defer memory.Release()
	events := berylrelay.EventReader{Reader: bufio.NewReaderSize(reply.Body, itemReadBuffer), Memory: memory}
	for {
		event, err := events.Next()
		if berylrelay.IsCleanEOF(err) {
			if len(events.Rest()) > 0 || it.events == 0 {
				return reply.Status, errors.New("the stream ended within an event or before its first event")
			}
			return reply.Status, nil
		}
		if err != nil {
			return reply.Status, err
		}
		m.mu.Lock()
		added, err := m.appendEvent(it, &event)
		if errors.Is(err, errTextTooLong) || errors.Is(err, berylresponse.ErrNoRoom) {
			// Of a text that is too long, it is not known which call produced the excess. One without room leaves it to others.
			it.discardText()
		}
		m.mu.Unlock()
		if err != nil {
			return reply.Status, err
		}
		if !added {
			continue // without resetting the stall timer: an upstream that sends no new events has stalled
		}
		stall.Reset(itemStallTimeout)
		if report.Tokens == 0 {
			report.TimeToFirstToken = time.Since(began)
			m.Quarantine.RecordBegin(upstream.Service, it.prompt)
		}
		report.Tokens++
	}
}

// appendEvent appends an event to the item's text and reports whether it was a new one. A gap in the event IDs is an
// error. The caller holds mu.
func (m *Manager) appendEvent(it *item, event *berylrelay.Event) (bool, error) {
	if !event.HasID {
		return false, nil
	}
	if it.events > 0 && event.ID <= it.last {
		return false, nil
	}
	if it.events > 0 && event.ID != it.last+1 {
		return false, errors.Newf("events are missing: event %d follows event %d", event.ID, it.last)
	}
	more := 0
	for data := range event.Data() {
		more += len(data) + 1
	}
	if err := m.growText(it, more); err != nil {
		return false, err
	}
	if it.events > 0 {
		it.text = append(it.text, '\n')
	}
	first := true
	for data := range event.Data() {
		if !first {
			it.text = append(it.text, '\n')
		}
		it.text, first = append(it.text, data...), false
	}
	it.last = event.ID
	it.events++
	return true, nil
}

// growText makes room for more bytes of an item's text. The caller holds mu.
func (m *Manager) growText(it *item, more int) error {
	needed := len(it.text) + more
	switch {
	case needed > maxItemText:
		return errTextTooLong
	case needed <= cap(it.text):
		return nil
	}
	capacity := min(max(2*cap(it.text), needed, firstItemText), maxItemText)
	if m.MaxTextBytes > 0 && capacity > berylresponse.FreeBytes && m.heldText()-cap(it.text)+capacity > m.MaxTextBytes {
		return errors.Wrap(berylresponse.ErrNoRoom, "text of the item")
	}
	it.text = append(make([]byte, 0, capacity), it.text...)
	return nil
}

// heldText returns the memory of the texts of all items that have not ended, in bytes. The caller holds mu.
func (m *Manager) heldText() int {
	held := 0
	for _, j := range m.jobs {
		for _, it := range j.items {
			held += cap(it.text)
		}
	}
	return held
}

// beginAt prepares the item for a call to an upstream of the given service and version: text of another is dropped. The caller
// holds mu.
func (it *item) beginAt(origin berylversion.Origin) {
	if it.origin != origin {
		it.discardText()
	}
	it.origin = origin
}

// discardText drops the text received so far, so that the next call starts over. The caller holds mu.
func (it *item) discardText() {
	it.text, it.events, it.last = nil, 0, 0
}

// finishCall records how a call ended: the item is completed, abandoned, or waits for its next call. It fills in the
// report's outcome.
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
		report.Fault = errors.Is(err, errMisdirected) || errors.Is(err, berylrelay.ErrUnsent) && !errors.Is(err, berylpath.ErrNoPath)
	case errors.Is(err, errUpstreamFailed) && status == http.StatusInternalServerError:
		report.Kind = beryloutcome.Failed
		it.serverErrors++
		config := m.Routes.Copy()
		if m.decide(it, config, routeIn(config.Config, j), time.Now()) == abandonItem {
			m.giveUp(it, config)
			return
		}
	default:
		report.Kind = beryloutcome.Unknown
		report.Fault = !errors.Is(err, berylresponse.ErrNoRoom)
	}
	it.failedCalls++
	it.notBefore = time.Now().Add(min(itemBackoff*time.Duration(it.failedCalls), maxItemBackoff))
}

// finishItem queues an item's result for the next commit; the caller holds mu.
func (m *Manager) finishItem(it *item, state State) {
	if it.ended || !slices.Contains(it.job.items, it) {
		return // the job was lost, or lost and adopted again, in the meantime
	}
	it.job.finish(it, state)
	m.signal(m.wakeCommit)
}
