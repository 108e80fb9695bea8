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
	"berylroad.example/berylroad/internal/berylquarantine"
	"berylroad.example/berylroad/internal/berylroute"
	"berylroad.example/berylroad/internal/berylversion"
)

const (
	// maxSends bounds the upstreams that are tried for one request, including those that refuse it without running
	// it.
	maxSends = 4
	// maxBufferedBytes bounds how much of an answer that is not a stream is held back until it is complete. Up to
	// this size, a call that breaks off may be repeated; a longer answer is passed on as it arrives.
	maxBufferedBytes = 256 << 10
	// maxAnswerBytes bounds an answer that is not a stream.
	maxAnswerBytes = 16 << 20
	// passBufferBytes is the size of the buffer for passing on a long answer.
	passBufferBytes = 32 << 10
	// eventBufferBytes is the size of the read buffer of one stream. Events are a few hundred bytes long.
	eventBufferBytes = 4 << 10
	// stallFactor times the route's EventGapTarget is how long a resumable stream may be silent before another
	// upstream continues it.
	stallFactor = 2
	// minStallTimeout bounds that time from below: an engine that processes a long prompt between two tokens has not
	// failed.
	minStallTimeout = 700 * time.Millisecond
	// defaultStallTimeout applies if a route has no EventGapTarget.
	defaultStallTimeout = 2 * time.Second
	// maxQueueWaitShare is the share of the route's FirstEventTarget that a request may be predicted to wait in a
	// queue. The rest is for the engine and for errors of the prediction (see TestReplicasLostUnderPeak in
	// berylsched).
	maxQueueWaitShare = 0.5
	// maxOriginWait bounds the wait of a stream that may go on at one version only for an upstream of that version. The
	// owners of some may be lost, which takes about that long to be known, and callers of such streams wait longer still.
	maxOriginWait = 2 * time.Second
	// originRetryInterval is the pause between two attempts in that time.
	originRetryInterval = 100 * time.Millisecond
	// versionRetryAfter is the Retry-After if no version may begin streams or the origin of a stream is not known.
	versionRetryAfter = time.Second
	// minRetryAfter is the shortest Retry-After sent to a refused caller.
	minRetryAfter = 100 * time.Millisecond
)

var (
	// errStalled ends a call whose upstream has been silent for too long.
	errStalled = errors.New("the upstream fell silent")
)

// Sink receives an answer.
type Sink interface {
	// Start receives the head of the answer. length is the length of the body, or -1 if it is not known yet, as for a
	// stream.
	Start(status int, header []HeaderField, length int) error
	// Write receives the next part of the body.
	Write(part []byte) error
}

// Request is one request of a caller.
type Request struct {
	// ID is the request's ID as its caller sent it.
	ID string
	// Route is the route that the request matches.
	Route *berylroute.Route
	// Method, Path and Host are as the caller sent them.
	Method, Path, Host string
	// Header holds the header fields to pass on.
	Header []HeaderField
	// Body is the complete request body.
	Body []byte
	// Deadline is when the caller's or the route's timeout ends.
	Deadline time.Time
	// Tokens is the estimated length of the answer in tokens.
	Tokens int
	// PrefixHash is equal for prompts that begin alike; zero means unknown.
	PrefixHash uint64
	// TakesUp says that the caller has events of the stream already and asks for the rest.
	TakesUp bool
	// FirstAttempt is the ID of the caller's attempt that brought the first event of the stream, or empty if the caller
	// does not name it.
	FirstAttempt string
	// PromptParts names the parts of the prompt that other prompts may hold too, in order.
	PromptParts []string
}

// Relay carries requests to upstreams.
type Relay struct {
	// Permits grants the permits to call upstreams.
	Permits berylpermit.Broker
	// Upstreams holds the known upstreams.
	Upstreams *berylroute.Registry
	// Client sends requests to upstreams.
	Client UpstreamClient
	// Versions keeps streams at the software version that began them; nil lets them go on anywhere.
	Versions *berylversion.Versions
	// Quarantine refuses prompts with parts that crash upstreams; nil refuses none.
	Quarantine *berylquarantine.Quarantine
	// Log receives one line for each request.
	Log logrus.FieldLogger
	// Metrics receives counts and times; nil records none.
	Metrics *metrics.Set
}

// Do carries one request to its end. ctx ends when the caller disconnects.
func (r *Relay) Do(ctx context.Context, request *Request, sink Sink) beryloutcome.Result {
	x := exchange{Relay: r, request: request, sink: sink, startedAt: time.Now(), service: request.Route.Service(request.ID)}
	x.prompt.Parts = request.PromptParts
	if request.Route.Repeatable() {
		x.prompt.Request = request.ID
	}
	requestCtx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	result := x.run(requestCtx)
	if ctx.Err() != nil && result.Kind != beryloutcome.Answered {
		result.Kind = beryloutcome.Cancelled
	}
	x.logResult(result)
	return result
}

// exchange is the state of one request while it is relayed.
type exchange struct {
	*Relay
	request   *Request
	sink      Sink
	startedAt time.Time
	service   string
	// origin is where the stream began, if hasOrigin is set. It goes on nowhere else.
	origin    berylversion.Origin
	hasOrigin bool
	// originRecorded marks that the origin has been noted for later attempts.
	originRecorded bool
	// originSource is how the origin of a stream that the caller takes up is known.
	originSource berylversion.Source
	// prompt is what the quarantine knows of the request.
	prompt berylquarantine.Prompt
	// triedUpstreams names the upstreams that were granted so far. None of them is granted to the request again.
	triedUpstreams []string
	// sends counts the upstreams that the request was sent to, possibleRuns those that may have run it.
	sends, possibleRuns int
	// started marks that the sink has received the head of the answer.
	started bool
	// hasEvent marks that the sink has received a numbered event, lastEvent is the number of the last one.
	hasEvent  bool
	lastEvent int64
	// permitWait is the time spent waiting for permits, timeToFirstEvent the time until the first event was passed
	// on.
	permitWait, timeToFirstEvent time.Duration
	// lastProgress is when the current call began or, if later, last received a new event.
	lastProgress time.Time
	upstream     string
	// grantedBy is the owner that granted the current call, limit what its answer says about the upstream's limit.
	grantedBy string
	limit     berylpermit.Limit
	// calledUpstream is the upstream of the current call, sentAt when the call was sent.
	calledUpstream berylroute.Upstream
	sentAt         time.Time
	// brokeUnanswered marks that a call broke off before the upstream had begun to answer.
	brokeUnanswered bool
	cause           error
}

// step says whether the request ends after a call, is sent to another upstream, or fails.
type step uint8

const (
	stepDone step = iota
	stepRetry
	stepFail
)

func (x *exchange) run(ctx context.Context) beryloutcome.Result {
	if err := x.resolveOrigin(ctx); err != nil {
		return x.resultUnknownOrigin(err)
	}
	for {
		if refusal := x.Quarantine.Refusal(x.prompt); refusal != nil {
			return x.resultQuarantined(ctx, refusal)
		}
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

// acquire waits for a permit for an upstream that has not been tried yet.
func (x *exchange) acquire(ctx context.Context) (*berylpermit.Permit, *beryloutcome.Refusal) {
	began := time.Now()
	defer func() { x.permitWait += time.Since(began) }()
	target, err := x.target()
	if err != nil {
		return nil, x.notRunRefusal(versionRetryAfter)
	}
	for {
		permit, refusal := x.Permits.Acquire(ctx, berylpermit.Request{
			Target:       target,
			Avoid:        x.avoidedUpstreams(),
			Class:        berylpermit.Online,
			Remaining:    time.Until(x.request.Deadline),
			Tokens:       x.request.Tokens,
			Queue:        true,
			PrefixHash:   x.request.PrefixHash,
			MaxQueueWait: x.maxQueueWait(),
		})
		if refusal == nil || time.Since(began) > maxOriginWait || !x.awaitOrigin(ctx) {
			return permit, refusal
		}
	}
}

// maxQueueWait returns how long the request may queue and still be answered in time; zero means no limit. A request
// that may have run already, or whose caller has events, waits for as long as its deadline allows, since a refusal would
// waste the events that have arrived.
func (x *exchange) maxQueueWait() time.Duration {
	if x.possibleRuns > 0 || x.hasOrigin {
		return 0
	}
	return time.Duration(maxQueueWaitShare * float64(x.request.Route.FirstEventTarget))
}

// avoidedUpstreams returns the upstreams that must not be granted: those that were tried, and those that this host
// knows to be leaving, since an owner that is cut off from the store may not know it.
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
	x.upstream, x.grantedBy = permit.Upstream, permit.GrantedBy
	x.triedUpstreams = append(x.triedUpstreams, permit.Upstream)
	upstream, known := x.Upstreams.Get(permit.Upstream)
	if !known || upstream.Leaving || upstream.Service != x.service || !x.admitsVersion(&upstream) {
		x.cause = errors.New("the granted upstream is leaving, gone or at another version")
		return stepRetry
	}
	// A verdict may have been passed while the request waited for its permit.
	if refusal := x.Quarantine.Admit(ctx, x.prompt); refusal != nil {
		x.cause = refusal
		return stepRetry
	}
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x.sends++
	x.calledUpstream, x.sentAt = upstream, time.Now()
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
	x.limit = reply.Limit
	permit.ReportLimit(reply.Limit)
	if reply.NotRun {
		report.Refused, report.Fault = true, reply.Misdirected
		x.cause = errors.Newf("the upstream refused it unrun with status %d", reply.Status)
		return stepRetry
	}
	x.possibleRuns++
	if !reply.Signed {
		return x.handleFailure(callCtx, &report, errors.Newf("the answer with status %d has no signature", reply.Status))
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

// handleFailure decides what follows a call whose answer did not arrive completely.
func (x *exchange) handleFailure(ctx context.Context, report *berylpermit.Report, err error) step {
	x.cause = err
	report.Fault = x.isUpstreamFault(ctx)
	if errors.Is(err, ErrUnsent) {
		return stepRetry
	}
	if report.Fault && report.Tokens == 0 && !errors.Is(err, errStalled) {
		x.brokeUnanswered = true
		x.Quarantine.RecordBreak(x.calledUpstream, x.prompt, x.sentAt)
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

// isUpstreamFault reports whether a failed call counts as a fault of its upstream. A call that the caller cancelled
// does not. A call that ran into the request's deadline does only if the upstream had been silent for too long by
// then.
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

// mayRetry reports whether another upstream may run the request, from its start or after the last event.
func (x *exchange) mayRetry() bool {
	if x.started && !x.hasEvent {
		return false
	}
	return x.request.Route.Repeatable() && x.possibleRuns < x.request.Route.Attempts()
}

// passBody passes on an answer that is not a stream: at once when it is complete, or as it arrives if it is long.
func (x *exchange) passBody(ctx context.Context, reply *Reply, report *berylpermit.Report) step {
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxBufferedBytes+1))
	if err != nil {
		return x.handleFailure(ctx, report, err)
	}
	if x.started {
		x.cause = errors.Newf("status %d instead of the rest of the stream", reply.Status)
		return stepFail
	}
	report.Kind = beryloutcome.Answered
	if reply.Status == http.StatusOK {
		x.Quarantine.RecordBegin(x.service, x.prompt)
	}
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

// passLongBody passes on the rest of a long answer. An answer over maxAnswerBytes is cut off, so that it does not
// look complete to the caller.
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

// passEvents passes a stream on as it arrives, one complete event at a time.
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
			// Comments and repeated events do not count as progress: an upstream that sends nothing else has stalled.
			stall.Reset()
			x.lastProgress = time.Now()
			if report.Tokens == 0 {
				report.TimeToFirstToken = time.Since(began)
				x.Quarantine.RecordBegin(x.service, x.prompt)
			}
			report.Tokens++
		}
		if x.hasEvent && event.HasID && event.ID > x.lastEvent+1 && x.possibleRuns > 1 {
			return x.handleFailure(ctx, report, errors.Newf("events are missing: event %d follows event %d", event.ID, x.lastEvent))
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

// writeEvent passes an event to the sink, preceded by the head of the answer if the sink does not have it yet.
func (x *exchange) writeEvent(reply *Reply, part []byte) error {
	x.recordOrigin()
	if !x.started {
		x.started = true
		x.timeToFirstEvent = time.Since(x.startedAt)
		if err := x.sink.Start(reply.Status, reply.Header, -1); err != nil {
			return err
		}
	}
	return x.sink.Write(part)
}

// finishEvents ends a stream that its upstream closed without an error. rest is what followed the last complete
// event.
func (x *exchange) finishEvents(ctx context.Context, rest []byte, report *berylpermit.Report) step {
	if len(rest) > 0 || !x.started {
		return x.handleFailure(ctx, report, errors.New("the stream ended within an event or before its first event"))
	}
	report.Kind = beryloutcome.Answered
	return stepDone
}

// resultWithoutPermit ends a request for which no permit was granted.
func (x *exchange) resultWithoutPermit(ctx context.Context, refusal *beryloutcome.Refusal) beryloutcome.Result {
	if x.possibleRuns > 0 {
		return x.failedResult(ctx)
	}
	x.cause = refusal
	return x.result(beryloutcome.NotRun, x.notRunRefusal(refusal.RetryAfter))
}

// resultQuarantined ends a request whose prompt is quarantined.
func (x *exchange) resultQuarantined(ctx context.Context, refusal *beryloutcome.Refusal) beryloutcome.Result {
	x.cause = refusal
	if x.possibleRuns > 0 {
		return x.failedResult(ctx)
	}
	return x.result(beryloutcome.NotRun, refusal)
}

// failedResult ends a request whose calls have failed.
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
