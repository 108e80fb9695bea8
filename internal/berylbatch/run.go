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
	// maxAsking is for how many items at once this host waits for permits of one service. In a large fleet it is fewer, down
	// to leastAsking, so that all hosts together wait for about fleetAsking.
	maxAsking   = 16
	leastAsking = 4
	fleetAsking = 128
	// askTime is how long an ask for a permit waits before it is made anew with what is then most urgent.
	askTime = 30 * time.Second
	// itemStall is how long a call may be silent before the item goes on elsewhere.
	itemStall = 2500 * time.Millisecond
	// itemBackoff is the wait after a failed call, times the failures so far.
	itemBackoff = 200 * time.Millisecond
	// maxItemBackoff bounds it.
	maxItemBackoff = 2 * time.Second
	// dispatchEvery is how often waiting items are looked at without another reason.
	dispatchEvery = 250 * time.Millisecond
	// retentionMargin keeps an item beyond its retention, since hosts' clocks differ.
	retentionMargin = 2 * time.Second
	// itemBuffer is the read buffer of one call.
	itemBuffer = 4 << 10
	// maxItemText bounds the text of one item, in bytes: a result has to fit into one value of the store, in base64 and
	// beside its job's other fields.
	maxItemText = 512 << 10
)

var (
	errJobEnded    = errors.New("the job was ended or lost")
	errYielded     = errors.New("online work needs the slot")
	errSilent      = errors.New("the upstream fell silent")
	errPermanent   = errors.New("the item can never be done")
	errFailed      = errors.New("the upstream failed the item")
	errUnrun       = errors.New("the upstream refused the item unrun")
	errMisdirected = errors.New("another upstream is at the address")
	errTooLong     = errors.Newf("the item's text is over %d bytes", maxItemText)
)

// runItem makes one call for an item and notes what it has come to.
func (d *Manager) runItem(ctx context.Context, cancel context.CancelCauseFunc, it *item, permit *berylpermit.Permit) {
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
	status, err := d.callItem(ctx, cancel, it, permit, &report)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	cancel(nil)
	<-yielding
	report.HeldFor = time.Since(began)
	if report.Tokens > 1 {
		report.InterTokenLatency = (report.HeldFor - report.TimeToFirstToken) / time.Duration(report.Tokens)
		d.mu.Lock()
		d.pace.called(report.InterTokenLatency)
		d.mu.Unlock()
	}
	d.settle(it, status, err, &report)
	d.count(report.Kind)
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
	d.Log.WithFields(fields).Info("item: call ended")
}

// callItem makes one call and adds what arrives to the item's text.
func (d *Manager) callItem(ctx context.Context, cancel context.CancelCauseFunc, it *item, permit *berylpermit.Permit, report *berylpermit.Report) (int, error) {
	upstream, known := d.Fleet.Get(permit.Upstream)
	if !known || upstream.Leaving {
		return 0, errUnrun
	}
	began := time.Now()
	stall := time.AfterFunc(itemStall, func() { cancel(errSilent) })
	defer stall.Stop()
	reply, err := d.Caller.Call(ctx, &berylrelay.Call{
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
		return reply.Status, errors.Mark(errMisdirected, errUnrun)
	case reply.NotRun:
		return reply.Status, errUnrun
	case reply.Status == http.StatusUnprocessableEntity && reply.Signed:
		return reply.Status, errPermanent
	case reply.Status != http.StatusOK || !reply.Signed || !reply.EventStream:
		return reply.Status, errFailed
	}
	events := berylrelay.EventReader{Reader: bufio.NewReaderSize(reply.Body, itemBuffer)}
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
		d.mu.Lock()
		added, err := it.add(&event)
		if errors.Is(err, errTooLong) {
			it.restart() // which of the calls went wrong is not known
		}
		d.mu.Unlock()
		if err != nil {
			return reply.Status, err
		}
		if !added {
			continue // no progress: an upstream that sends nothing else has stalled
		}
		stall.Reset(itemStall)
		if report.TimeToFirstToken == 0 {
			report.TimeToFirstToken = time.Since(began)
		}
		report.Tokens++
	}
}

// add appends an event and says whether it is a new one; a gap is an error. The caller holds mu.
func (it *item) add(event *berylrelay.Event) (bool, error) {
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
		return false, errTooLong
	}
	if it.events > 0 {
		it.text = append(it.text, '\n')
	}
	it.text = append(it.text, event.Data...)
	it.last = event.ID
	it.events++
	return true, nil
}

// restart drops what has arrived, so that the next call begins anew. The caller holds mu.
func (it *item) restart() {
	it.text, it.events, it.last = nil, 0, 0
}

// settle notes how a call ended: the item is finished, given up or waits for its next call.
func (d *Manager) settle(it *item, status int, err error, report *berylpermit.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	it.running, it.cancel = false, nil
	j := it.job
	switch {
	case err == nil:
		report.Kind = beryloutcome.Answered
		d.pace.completed(it.events)
		d.list(it, Completed)
		return
	case errors.Is(err, errYielded), errors.Is(err, errJobEnded), errors.Is(err, context.Canceled):
		report.Kind = beryloutcome.Yielded
		return
	case errors.Is(err, errPermanent):
		report.Kind = beryloutcome.Answered
		d.list(it, Abandoned)
		return
	case errors.Is(err, errUnrun), errors.Is(err, berylrelay.ErrUnsent):
		report.Kind = beryloutcome.NotRun
		report.Refused = status != 0
		report.Fault = errors.Is(err, berylrelay.ErrUnsent) || errors.Is(err, errMisdirected)
	case errors.Is(err, errFailed) && status == http.StatusInternalServerError:
		report.Kind = beryloutcome.Failed
		it.failures++
		if route := d.routeOf(j); route != nil && it.failures >= route.Attempts() {
			d.list(it, Abandoned)
			return
		}
	default:
		report.Kind = beryloutcome.Unknown
		report.Fault = true
	}
	it.odd++
	it.notBefore = time.Now().Add(min(itemBackoff*time.Duration(it.odd), maxItemBackoff))
}

// list puts an item's result in line; the caller holds mu.
func (d *Manager) list(it *item, state State) {
	if it.ended || !slices.Contains(it.job.items, it) {
		return // the job was lost, or lost and taken back, meanwhile
	}
	it.job.finish(it, state)
	d.nudge(d.commit)
}

func (d *Manager) routeOf(j *job) *berylroute.Route {
	config := d.Routes.Get()
	if config == nil {
		return nil
	}
	return config.Match(j.record.Host, j.record.Path)
}
