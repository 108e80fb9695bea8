package berylrelay

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylroute"
)

const (
	// maxSends bounds the upstreams that are tried for one request, those that refuse it unrun included.
	maxSends = 4
	// maxBufferedBytes is how much of an answer that is not a stream is held until it is whole, in bytes: up to there a call
	// that breaks off may be made again. What is longer is passed on as it arrives.
	maxBufferedBytes = 256 << 10
	// maxAnswerBytes bounds an answer that is not a stream, in bytes.
	maxAnswerBytes = 16 << 20
	// passBufferBytes is the buffer of a long answer, in bytes.
	passBufferBytes = 32 << 10
	// eventBufferBytes is the read buffer of one stream; events are some hundred bytes.
	eventBufferBytes = 4 << 10
	// stallFactor is how many of the route's longest pauses a resumable stream may be silent before another upstream
	// goes on with it.
	stallFactor = 2
	// minStallTimeout bounds that from below: an engine that reads a long prompt between two tokens is no failure.
	minStallTimeout = 700 * time.Millisecond
	// defaultStallTimeout stands in where a route names no longest pause.
	defaultStallTimeout = 2 * time.Second
	// maxQueueWaitShare is the part of the time to the first event that a request may be predicted to spend in a queue; the
	// rest is for the engine and for what predictions miss by (see TestReplicasLostUnderPeak in berylsched).
	maxQueueWaitShare = 0.5
	// minRetryAfter is the least time after which a refused caller is told to come back.
	minRetryAfter = 100 * time.Millisecond
)

var (
	// errStalled ends a call whose upstream has been silent for too long.
	errStalled = errors.New("the upstream fell silent")
)

// Sink takes an answer.
type Sink interface {
	// Start takes the head of the answer; length is that of the body, or -1 for a stream.
	Start(status int, header []HeaderField, length int) error
	// Write passes a part of the body on.
	Write(part []byte) error
}

// Request is one request of a caller.
type Request struct {
	// ID is the caller's.
	ID string
	// Route is the one that the request matches.
	Route *berylroute.Route
	// Method, Path and Host are as the caller sent them.
	Method, Path, Host string
	// Header holds the fields to pass on.
	Header []HeaderField
	// Body is the whole body.
	Body []byte
	// Deadline is when the caller, or the route's timeout, gives up.
	Deadline time.Time
	// Tokens is the estimated length of the answer in tokens.
	Tokens int
	// PrefixHash tells prompts that begin alike; zero is unknown.
	PrefixHash uint64
}

// Relay carries requests.
type Relay struct {
	// Permits decides which upstream may be called when.
	Permits berylpermit.Broker
	// Upstreams knows the upstreams.
	Upstreams *berylroute.Registry
	// Client makes the calls.
	Client UpstreamClient
	// Log takes one line for each request.
	Log logrus.FieldLogger
	// Metrics takes counts and times; nil keeps none.
	Metrics *metrics.Set
}

// Do carries one request. When ctx ends its caller has left.
func (r *Relay) Do(ctx context.Context, request *Request, sink Sink) beryloutcome.Result {
	x := exchange{Relay: r, request: request, sink: sink, startedAt: time.Now(), service: request.Route.Service(request.ID)}
	requestCtx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	result := x.run(requestCtx)
	if ctx.Err() != nil && result.Kind != beryloutcome.Answered {
		result.Kind = beryloutcome.Cancelled
	}
	x.logResult(result)
	return result
}

// exchange is one request on its way.
type exchange struct {
	*Relay
	request   *Request
	sink      Sink
	startedAt time.Time
	service   string
	// triedUpstreams names the upstreams that have failed the request.
	triedUpstreams []string
	// sends counts the upstreams that the request was sent to, possibleRuns those that may have run it.
	sends, possibleRuns int
	// started marks an answer of which the sink has the head.
	started bool
	// hasEvent marks that the sink has an event; last is its number.
	hasEvent  bool
	lastEvent int64
	// permitWait is the time spent on permits, timeToFirstEvent the time to the timeToFirstEvent event.
	permitWait, timeToFirstEvent time.Duration
	// lastProgress is when the present call began or brought its last new event.
	lastProgress time.Time
	upstream     string
	cause        error
}

// step says what follows a call.
type step uint8

const (
	stepDone step = iota
	stepRetry
	stepFail
)

func (x *exchange) run(ctx context.Context) beryloutcome.Result {
	for {
		permit, refusal := x.acquire(ctx)
		if refusal != nil {
			return x.resultWithoutPermit(ctx, refusal)
		}
		switch x.call(ctx, permit) {
		case stepDone:
			return x.result(beryloutcome.Answered, nil)
		case stepFail:
			return x.failedResult(ctx)
		case stepRetry:
		}
		if ctx.Err() != nil || x.sends >= maxSends {
			return x.failedResult(ctx)
		}
	}
}

// acquire waits for a permit for an upstream that has not failed the request yet.
func (x *exchange) acquire(ctx context.Context) (*berylpermit.Permit, *beryloutcome.Refusal) {
	began := time.Now()
	defer func() { x.permitWait += time.Since(began) }()
	return x.Permits.Acquire(ctx, berylpermit.Request{
		Target:       x.service,
		Avoid:        x.avoidedUpstreams(),
		Class:        berylpermit.Online,
		Remaining:    time.Until(x.request.Deadline),
		Tokens:       x.request.Tokens,
		Queue:        true,
		PrefixHash:   x.request.PrefixHash,
		MaxQueueWait: x.maxQueueWait(),
	})
}

// maxQueueWait returns how long the request may queue so that its answer is still on time. Once it has run it waits for as long
// as its deadline allows: what has arrived is worth more than a fresh start.
func (x *exchange) maxQueueWait() time.Duration {
	if x.possibleRuns > 0 {
		return 0
	}
	return time.Duration(maxQueueWaitShare * float64(x.request.Route.FirstEventTarget))
}

// avoidedUpstreams names the upstreams that must not be granted: those that have failed the request, and those that are known here
// to be leaving, since an owner that is cut off from the store may not know it.
func (x *exchange) avoidedUpstreams() []string {
	return slices.Concat(x.triedUpstreams, x.Upstreams.LeavingIDs(x.service))
}

// call makes one call under a permit.
func (x *exchange) call(ctx context.Context, permit *berylpermit.Permit) step {
	report := berylpermit.Report{Kind: beryloutcome.NotRun}
	began := time.Now()
	x.lastProgress = began
	defer func() {
		report.HeldFor = time.Since(began)
		permit.Release(report)
	}()
	x.upstream = permit.Upstream
	x.triedUpstreams = append(x.triedUpstreams, permit.Upstream)
	upstream, known := x.Upstreams.Get(permit.Upstream)
	if !known || upstream.Leaving || upstream.Service != x.service {
		x.cause = errors.New("the granted upstream is leaving or gone")
		return stepRetry
	}
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x.sends++
	stall := x.watchStall(cancel)
	defer stall.Stop()
	reply, err := x.Client.Call(callCtx, x.newCall(upstream))
	if err != nil {
		if !errors.Is(err, ErrUnsent) {
			x.possibleRuns++
		}
		return x.handleFailure(callCtx, &report, err)
	}
	defer reply.Body.Close()
	if reply.NotRun {
		report.Refused, report.Fault = true, reply.Misdirected
		x.cause = errors.Newf("the upstream refused it unrun with status %d", reply.Status)
		return stepRetry
	}
	x.possibleRuns++
	if !reply.Signed {
		return x.handleFailure(callCtx, &report, errors.Newf("an answer of status %d without a signature", reply.Status))
	}
	if reply.EventStream && reply.Status == http.StatusOK {
		return x.passEvents(callCtx, reply, stall, &report, began)
	}
	return x.passBody(callCtx, reply, &report)
}

func (x *exchange) newCall(upstream berylroute.Upstream) *Call {
	return &Call{
		Upstream:    upstream,
		ID:          x.request.ID,
		Method:      x.request.Method,
		Path:        x.request.Path,
		Host:        x.request.Host,
		Header:      x.request.Header,
		Body:        x.request.Body,
		Timeout:     time.Until(x.request.Deadline),
		Resume:      x.hasEvent,
		ResumeAfter: x.lastEvent,
	}
}

// handleFailure decides what follows a call whose answer did not arrive whole.
func (x *exchange) handleFailure(ctx context.Context, report *berylpermit.Report, err error) step {
	x.cause = err
	report.Fault = x.isUpstreamFault(ctx)
	if errors.Is(err, ErrUnsent) {
		return stepRetry
	}
	report.Kind = beryloutcome.Unknown
	if errors.Is(context.Cause(ctx), context.Canceled) {
		report.Kind = beryloutcome.Cancelled
		return stepFail
	}
	if x.mayRetry() {
		return stepRetry
	}
	return stepFail
}

// isUpstreamFault says whether a call that has failed speaks against its upstream: one that the caller or the request's deadline
// ended does so only where the deadline came after a silence that is too long in itself.
func (x *exchange) isUpstreamFault(ctx context.Context) bool {
	switch cause := beryloutcome.Cause(ctx); {
	case errors.Is(cause, context.Canceled):
		return false
	case errors.Is(cause, context.DeadlineExceeded):
		return time.Since(x.lastProgress) >= x.stallTimeout()
	default:
		return true
	}
}

// mayRetry says whether another upstream may run the request, from its start or from the last event.
func (x *exchange) mayRetry() bool {
	if x.started && !x.hasEvent {
		return false
	}
	return x.request.Route.Repeatable() && x.possibleRuns < x.request.Route.Attempts()
}

// passBody passes an answer that is not a stream on: at once when it is whole, or as it arrives when it is long.
func (x *exchange) passBody(ctx context.Context, reply *Reply, report *berylpermit.Report) step {
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxBufferedBytes+1))
	if err != nil {
		return x.handleFailure(ctx, report, err)
	}
	if x.started {
		x.cause = errors.Newf("status %d in place of the rest of a stream", reply.Status)
		return stepFail
	}
	report.Kind = beryloutcome.Answered
	if reply.Status >= http.StatusInternalServerError {
		report.Kind = beryloutcome.Failed
	}
	length := len(body)
	if length > maxBufferedBytes {
		length = -1
	}
	x.started = true
	if err := x.sink.Start(reply.Status, reply.Header, length); err != nil {
		x.cause = err
		return stepFail
	}
	if err := x.sink.Write(body); err != nil {
		x.cause = err
		return stepFail
	}
	if length < 0 {
		return x.passLongBody(ctx, reply, report, len(body))
	}
	return stepDone
}

// passLongBody passes the rest of a long answer on; one that goes on beyond all bounds is cut, so that it does not look whole.
func (x *exchange) passLongBody(ctx context.Context, reply *Reply, report *berylpermit.Report, passed int) step {
	buffer := make([]byte, passBufferBytes)
	for {
		n, err := reply.Body.Read(buffer)
		passed += n
		if passed > maxAnswerBytes {
			return x.handleFailure(ctx, report, errors.Newf("the answer is over %d bytes", maxAnswerBytes))
		}
		if writeErr := x.sink.Write(buffer[:n]); writeErr != nil {
			x.cause = writeErr
			report.Kind = beryloutcome.Cancelled
			return stepFail
		}
		if IsCleanEOF(err) {
			return stepDone
		}
		if err != nil {
			return x.handleFailure(ctx, report, err)
		}
	}
}

// passEvents passes a stream on as it arrives. Of a stream that may be resumed only whole events are passed.
func (x *exchange) passEvents(ctx context.Context, reply *Reply, stall *stallTimer, report *berylpermit.Report, began time.Time) step {
	events := EventReader{Reader: bufio.NewReaderSize(reply.Body, eventBufferBytes)}
	defer func() {
		if report.Tokens > 1 {
			report.InterTokenLatency = (time.Since(began) - report.TimeToFirstToken) / time.Duration(report.Tokens-1)
		}
	}()
	for {
		event, err := events.Next()
		if IsCleanEOF(err) {
			return x.finishEvents(ctx, events.Rest(), report)
		}
		if err != nil {
			return x.handleFailure(ctx, report, err)
		}
		if x.hasEvent && event.HasID && event.ID <= x.lastEvent {
			continue
		}
		if event.HasID {
			// Comments and repeated events are no progress: an upstream that sends nothing else has stalled.
			stall.Reset()
			x.lastProgress = time.Now()
			if report.Tokens == 0 {
				report.TimeToFirstToken = time.Since(began)
			}
			report.Tokens++
		}
		if x.hasEvent && event.HasID && event.ID > x.lastEvent+1 && x.possibleRuns > 1 {
			return x.handleFailure(ctx, report, errors.Newf("event %d after event %d", event.ID, x.lastEvent))
		}
		if err := x.writeEvent(reply, event.Raw); err != nil {
			x.cause = err
			report.Kind = beryloutcome.Cancelled
			return stepFail
		}
		if event.HasID {
			x.hasEvent, x.lastEvent = true, event.ID
		}
	}
}

// writeEvent sends a part of a stream to the sink, its head first.
func (x *exchange) writeEvent(reply *Reply, part []byte) error {
	if !x.started {
		x.started = true
		x.timeToFirstEvent = time.Since(x.startedAt)
		if err := x.sink.Start(reply.Status, reply.Header, -1); err != nil {
			return err
		}
	}
	return x.sink.Write(part)
}

// finishEvents ends a stream whose upstream has ended it cleanly.
func (x *exchange) finishEvents(ctx context.Context, rest []byte, report *berylpermit.Report) step {
	if len(rest) > 0 || !x.started {
		return x.handleFailure(ctx, report, errors.New("the stream ended within an event or before the first"))
	}
	report.Kind = beryloutcome.Answered
	return stepDone
}

// resultWithoutPermit ends a request for which no permit came.
func (x *exchange) resultWithoutPermit(ctx context.Context, refusal *beryloutcome.Refusal) beryloutcome.Result {
	if x.possibleRuns > 0 {
		return x.failedResult(ctx)
	}
	x.cause = refusal
	return x.result(beryloutcome.NotRun, x.notRunRefusal(refusal.RetryAfter))
}

// failedResult ends a request whose calls have failedResult.
func (x *exchange) failedResult(ctx context.Context) beryloutcome.Result {
	if x.possibleRuns == 0 {
		return x.result(beryloutcome.NotRun, x.notRunRefusal(minRetryAfter))
	}
	status := http.StatusBadGateway
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	return x.result(beryloutcome.Unknown, &beryloutcome.Refusal{
		Status:  status,
		Code:    beryloutcome.CodeUnknown,
		Message: "the request may have run, but its answer did not arrive whole",
	})
}

func (x *exchange) notRunRefusal(wait time.Duration) *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status:     http.StatusServiceUnavailable,
		Code:       beryloutcome.CodeNotRun,
		Message:    "the request was not run; send it again",
		RetryAfter: max(wait, minRetryAfter),
	}
}

func (x *exchange) result(kind beryloutcome.Kind, refusal *beryloutcome.Refusal) beryloutcome.Result {
	return beryloutcome.Result{Kind: kind, Refusal: refusal, Upstream: x.upstream, TimeToFirstToken: x.timeToFirstEvent, Attempts: x.sends}
}
