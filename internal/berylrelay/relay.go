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
	// maxHeldAnswer is how much of an answer that is not a stream is held until it is whole, in bytes: up to there a call
	// that breaks off may be made again. What is longer is passed on as it arrives.
	maxHeldAnswer = 256 << 10
	// maxAnswerBytes bounds an answer that is not a stream, in bytes.
	maxAnswerBytes = 16 << 20
	// passBuffer is the buffer of a long answer, in bytes.
	passBuffer = 32 << 10
	// eventBuffer is the read buffer of one stream; events are some hundred bytes.
	eventBuffer = 4 << 10
	// stallFactor is how many of the route's longest pauses a resumable stream may be silent before another upstream
	// goes on with it.
	stallFactor = 2
	// leastStall bounds that from below: an engine that reads a long prompt between two tokens is no failure.
	leastStall = 700 * time.Millisecond
	// noTargetStall stands in where a route names no longest pause.
	noTargetStall = 2 * time.Second
	// patienceShare is the part of the time to the first event that a request may be predicted to spend in a queue; the
	// rest is for the engine and for what predictions miss by (see TestReplicasLostUnderPeak in berylsched).
	patienceShare = 0.5
	// shortWait is the least time after which a refused caller is told to come back.
	shortWait = 100 * time.Millisecond
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
	x := exchange{Relay: r, request: request, sink: sink, began: time.Now(), service: request.Route.Service(request.ID)}
	bounded, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	result := x.run(bounded)
	if ctx.Err() != nil && result.Kind != beryloutcome.Answered {
		result.Kind = beryloutcome.Cancelled
	}
	x.report(result)
	return result
}

// exchange is one request on its way.
type exchange struct {
	*Relay
	request *Request
	sink    Sink
	began   time.Time
	service string
	// avoid names the upstreams that have failed the request.
	avoid []string
	// sends counts the upstreams that the request was sent to, ran those that may have run it.
	sends, ran int
	// started marks an answer of which the sink has the head.
	started bool
	// seen marks that the sink has an event; last is its number.
	seen bool
	last int64
	// waited is the time spent on permits, first the time to the first event.
	waited, first time.Duration
	// progress is when the present call began or brought its last new event.
	progress time.Time
	upstream string
	cause    error
}

// step says what follows a call.
type step uint8

const (
	stepDone step = iota
	stepAgain
	stepFail
)

func (x *exchange) run(ctx context.Context) beryloutcome.Result {
	for {
		permit, refusal := x.acquire(ctx)
		if refusal != nil {
			return x.refused(ctx, refusal)
		}
		switch x.call(ctx, permit) {
		case stepDone:
			return x.result(beryloutcome.Answered, nil)
		case stepFail:
			return x.failed(ctx)
		case stepAgain:
		}
		if ctx.Err() != nil || x.sends >= maxSends {
			return x.failed(ctx)
		}
	}
}

// acquire waits for a permit for an upstream that has not failed the request yet.
func (x *exchange) acquire(ctx context.Context) (*berylpermit.Permit, *beryloutcome.Refusal) {
	began := time.Now()
	defer func() { x.waited += time.Since(began) }()
	return x.Permits.Acquire(ctx, berylpermit.Request{
		Target:       x.service,
		Avoid:        x.avoided(),
		Class:        berylpermit.Online,
		Remaining:    time.Until(x.request.Deadline),
		Tokens:       x.request.Tokens,
		Queue:        true,
		PrefixHash:   x.request.PrefixHash,
		MaxQueueWait: x.patience(),
	})
}

// patience returns how long the request may queue so that its answer is still on time. Once it has run it waits for as long
// as its deadline allows: what has arrived is worth more than a fresh start.
func (x *exchange) patience() time.Duration {
	if x.ran > 0 {
		return 0
	}
	return time.Duration(patienceShare * float64(x.request.Route.FirstEventTarget))
}

// avoided names the upstreams that must not be granted: those that have failed the request, and those that are known here
// to be leaving, since an owner that is cut off from the store may not know it.
func (x *exchange) avoided() []string {
	return slices.Concat(x.avoid, x.Upstreams.LeavingIDs(x.service))
}

// call makes one call under a permit.
func (x *exchange) call(ctx context.Context, permit *berylpermit.Permit) step {
	report := berylpermit.Report{Kind: beryloutcome.NotRun}
	began := time.Now()
	x.progress = began
	defer func() {
		report.HeldFor = time.Since(began)
		permit.Release(report)
	}()
	x.upstream = permit.Upstream
	x.avoid = append(x.avoid, permit.Upstream)
	upstream, known := x.Upstreams.Get(permit.Upstream)
	if !known || upstream.Leaving || upstream.Service != x.service {
		x.cause = errors.New("the granted upstream is leaving or gone")
		return stepAgain
	}
	calling, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x.sends++
	stall := x.watchStall(cancel)
	defer stall.Stop()
	reply, err := x.Client.Call(calling, x.newCall(upstream))
	if err != nil {
		if !errors.Is(err, ErrUnsent) {
			x.ran++
		}
		return x.lost(calling, &report, err)
	}
	defer reply.Body.Close()
	if reply.NotRun {
		report.Refused, report.Fault = true, reply.Misdirected
		x.cause = errors.Newf("the upstream refused it unrun with status %d", reply.Status)
		return stepAgain
	}
	x.ran++
	if !reply.Signed {
		return x.lost(calling, &report, errors.Newf("an answer of status %d without a signature", reply.Status))
	}
	if reply.EventStream && reply.Status == http.StatusOK {
		return x.passEvents(calling, reply, stall, &report, began)
	}
	return x.passWhole(calling, reply, &report)
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
		Resume:      x.seen,
		ResumeAfter: x.last,
	}
}

// lost decides what follows a call whose answer did not arrive whole.
func (x *exchange) lost(ctx context.Context, report *berylpermit.Report, err error) step {
	x.cause = err
	report.Fault = x.isFault(ctx)
	if errors.Is(err, ErrUnsent) {
		return stepAgain
	}
	report.Kind = beryloutcome.Unknown
	if errors.Is(context.Cause(ctx), context.Canceled) {
		report.Kind = beryloutcome.Cancelled
		return stepFail
	}
	if x.mayRepeat() {
		return stepAgain
	}
	return stepFail
}

// isFault says whether a call that has failed speaks against its upstream: one that the caller or the request's deadline
// ended does so only where the deadline came after a silence that is too long in itself.
func (x *exchange) isFault(ctx context.Context) bool {
	switch cause := beryloutcome.Cause(ctx); {
	case errors.Is(cause, context.Canceled):
		return false
	case errors.Is(cause, context.DeadlineExceeded):
		return time.Since(x.progress) >= x.stallAfter()
	default:
		return true
	}
}

// mayRepeat says whether another upstream may run the request, from its start or from the last event.
func (x *exchange) mayRepeat() bool {
	if x.started && !x.seen {
		return false
	}
	return x.request.Route.Repeatable() && x.ran < x.request.Route.Attempts()
}

// passWhole passes an answer that is not a stream on: at once when it is whole, or as it arrives when it is long.
func (x *exchange) passWhole(ctx context.Context, reply *Reply, report *berylpermit.Report) step {
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxHeldAnswer+1))
	if err != nil {
		return x.lost(ctx, report, err)
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
	if length > maxHeldAnswer {
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
		return x.passRest(ctx, reply, report, len(body))
	}
	return stepDone
}

// passRest passes the rest of a long answer on; one that goes on beyond all bounds is cut, so that it does not look whole.
func (x *exchange) passRest(ctx context.Context, reply *Reply, report *berylpermit.Report, passed int) step {
	buffer := make([]byte, passBuffer)
	for {
		n, err := reply.Body.Read(buffer)
		passed += n
		if passed > maxAnswerBytes {
			return x.lost(ctx, report, errors.Newf("the answer is over %d bytes", maxAnswerBytes))
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
			return x.lost(ctx, report, err)
		}
	}
}

// passEvents passes a stream on as it arrives. Of a stream that may be resumed only whole events are passed.
func (x *exchange) passEvents(ctx context.Context, reply *Reply, stall *stallTimer, report *berylpermit.Report, began time.Time) step {
	events := EventReader{Reader: bufio.NewReaderSize(reply.Body, eventBuffer)}
	defer func() {
		if report.Tokens > 1 {
			report.InterTokenLatency = (time.Since(began) - report.TimeToFirstToken) / time.Duration(report.Tokens-1)
		}
	}()
	for {
		event, err := events.Next()
		if IsCleanEOF(err) {
			return x.endEvents(ctx, events.Rest(), report)
		}
		if err != nil {
			return x.lost(ctx, report, err)
		}
		if x.seen && event.HasID && event.ID <= x.last {
			continue
		}
		if event.HasID {
			// Comments and repeated events are no progress: an upstream that sends nothing else has stalled.
			stall.Reset()
			x.progress = time.Now()
			if report.Tokens == 0 {
				report.TimeToFirstToken = time.Since(began)
			}
			report.Tokens++
		}
		if x.seen && event.HasID && event.ID > x.last+1 && x.ran > 1 {
			return x.lost(ctx, report, errors.Newf("event %d after event %d", event.ID, x.last))
		}
		if err := x.pass(reply, event.Raw); err != nil {
			x.cause = err
			report.Kind = beryloutcome.Cancelled
			return stepFail
		}
		if event.HasID {
			x.seen, x.last = true, event.ID
		}
	}
}

// pass sends a part of a stream to the sink, its head first.
func (x *exchange) pass(reply *Reply, part []byte) error {
	if !x.started {
		x.started = true
		x.first = time.Since(x.began)
		if err := x.sink.Start(reply.Status, reply.Header, -1); err != nil {
			return err
		}
	}
	return x.sink.Write(part)
}

// endEvents ends a stream whose upstream has ended it cleanly.
func (x *exchange) endEvents(ctx context.Context, rest []byte, report *berylpermit.Report) step {
	if len(rest) > 0 || !x.started {
		return x.lost(ctx, report, errors.New("the stream ended within an event or before the first"))
	}
	report.Kind = beryloutcome.Answered
	return stepDone
}

// refused ends a request for which no permit came.
func (x *exchange) refused(ctx context.Context, refusal *beryloutcome.Refusal) beryloutcome.Result {
	if x.ran > 0 {
		return x.failed(ctx)
	}
	x.cause = refusal
	return x.result(beryloutcome.NotRun, x.notRun(refusal.RetryAfter))
}

// failed ends a request whose calls have failed.
func (x *exchange) failed(ctx context.Context) beryloutcome.Result {
	if x.ran == 0 {
		return x.result(beryloutcome.NotRun, x.notRun(shortWait))
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

func (x *exchange) notRun(wait time.Duration) *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status:     http.StatusServiceUnavailable,
		Code:       beryloutcome.CodeNotRun,
		Message:    "the request was not run; send it again",
		RetryAfter: max(wait, shortWait),
	}
}

func (x *exchange) result(kind beryloutcome.Kind, refusal *beryloutcome.Refusal) beryloutcome.Result {
	return beryloutcome.Result{Kind: kind, Refusal: refusal, Upstream: x.upstream, TimeToFirstToken: x.first, Attempts: x.sends}
}
