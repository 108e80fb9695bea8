package berylcall

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylresponse"
)

// headerRequestLimit is the field of an answer in which an upstream names the requests a second that it accepts.
const headerRequestLimit = "Berylroad-Request-Limit"

// headerLeaving is the field of an answer in which an upstream says, with the value 1, that it leaves.
const headerLeaving = "Berylroad-Leaving"

// headerNotRun is the field of an answer in which an upstream says, with the value 1, that it has not run the request and never will.
const headerNotRun = "Berylroad-Not-Run"

var (
	errPermitYielded   = errors.New("the owner wants the permit back")
	errOtherAttemptWon = errors.New("another call for the request was faster")
)

// attempt is one call to one upstream, made under one permit.
type attempt struct {
	runner         *Runner
	req            *Request
	permit         *berylpermit.Permit
	body           []byte
	maxAnswerBytes int64
	// resumed marks an attempt that asks the upstream to continue a partial answer after the events that the sink
	// already has.
	resumed bool
	// stallTimeout is the longest allowed pause between two events; zero means no limit.
	stallTimeout time.Duration
	// mayEndForSilence reports, after such a pause, whether another attempt may continue the answer.
	mayEndForSilence func() bool

	ctx         context.Context
	cancel      context.CancelCauseFunc
	releaseOnce sync.Once

	addr              string
	conn              *conn
	stopCloseOnCancel func() bool
	response          *berylresponse.Response
	mode              bodyMode
	eventReader       eventReader
	memory            *berylresponse.Reservation
	firstEventRead    event
	bytesRead         int64

	startedAt          time.Time
	timeToFirstByte    time.Duration
	timeToLastToken    time.Duration
	tokens             int
	stallDeadlineSetAt time.Time
	result             attemptResult
}

// newAttempt prepares an attempt. Its context ends with ctx or when the attempt is cancelled, which watchYield does
// if the permit is reclaimed.
func newAttempt(ctx context.Context, r *Runner, req *Request, permit *berylpermit.Permit, body []byte, limit int64) *attempt {
	a := &attempt{runner: r, req: req, permit: permit, body: body, maxAnswerBytes: limit, startedAt: time.Now()}
	a.result.upstream = permit.Upstream
	a.memory = r.Memory.NewReservation()
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	return a
}

// watchYield cancels the attempt when the upstream's owner reclaims the permit. It returns when the attempt has
// ended.
func (a *attempt) watchYield() {
	select {
	case <-a.permit.Yield:
		a.cancel(errPermitYielded)
	case <-a.ctx.Done():
	}
}

// open sends the request and reads up to the start of the response body, or up to the first event of a stream. It
// reports whether there is an answer to pass on.
func (a *attempt) open(base string) bool {
	if !a.connect(base) {
		return false
	}
	err := a.roundTrip()
	if err != nil && a.mayRetryStaleConn(err) {
		a.closeConn()
		if !a.connect(base) {
			return false
		}
		err = a.roundTrip()
	}
	if err != nil {
		return a.fail(a.classifyHeaderError(err), err.Error())
	}
	return a.checkResponse()
}

// mayRetryStaleConn reports whether a failed exchange may be repeated on a new connection: the upstream may have
// closed the reused connection just as the request was written to it. If a part of an answer came, it has not.
func (a *attempt) mayRetryStaleConn(err error) bool {
	return a.conn.reused && a.req.Repeatable && !a.conn.answered && a.classifyHeaderError(err) == endConnectionLost
}

// roundTrip writes the request and reads the response header.
func (a *attempt) roundTrip() error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(a.req.Method)
	request.Header.SetRequestURI(a.req.Path)
	request.Header.SetHost(a.addr)
	request.Header.SetNoDefaultContentType(true)
	if a.req.ContentType != "" {
		request.Header.SetContentType(a.req.ContentType)
	}
	request.Header.Set("X-Request-Id", a.req.ID)
	request.SetBodyRaw(a.body)
	if err := request.Write(a.conn.writer); err != nil {
		return err
	}
	if err := a.conn.writer.Flush(); err != nil {
		return err
	}
	var err error
	a.response, err = berylresponse.Read(a.conn.reader, a.req.Method, maxHeaderBytes)
	return err
}

// checkResponse classifies the response by its header and, for a stream, reads the first event.
func (a *attempt) checkResponse() bool {
	status := a.response.Status
	a.result.status = status
	a.permit.ReportStatement(berylpermit.Statement{Limit: a.statedLimit(), Leaving: a.response.Get(headerLeaving) == "1"})
	if id := a.response.Get("X-Request-Id"); id != "" && id != a.req.ID {
		return a.fail(endWrongRequest, "the answer carries another request's id")
	}
	if e := classifyStatus(status, a.req.Repeatable, a.response.Get(headerNotRun) == "1"); e != endComplete {
		return a.fail(e, statusDetail(status))
	}
	a.mode = a.bodyMode()
	if a.resumed && (a.mode != bodyEvents || status != fasthttp.StatusOK) {
		return a.fail(endServerError, "it did not continue the answer")
	}
	if a.mode == bodyEvents {
		return a.readFirstEvent()
	}
	a.timeToFirstByte = time.Since(a.startedAt)
	return true
}

// statedLimit returns what the answer says about the rate of requests that the upstream accepts from all hosts together.
func (a *attempt) statedLimit() berylpermit.Limit {
	if text := a.response.Get(headerRequestLimit); text != "" {
		return berylpermit.ParseLimit(text)
	}
	return berylpermit.Limit{Known: true}
}

func (a *attempt) readFirstEvent() bool {
	a.eventReader.body, a.eventReader.memory = bodyReader{a}, a.memory
	e, err := a.eventReader.next()
	if err != nil {
		return a.fail(a.classifyBodyError(err), err.Error())
	}
	a.timeToFirstByte = time.Since(a.startedAt)
	a.firstEventRead = e
	a.runner.countFirstToken(a.req.Class, a.timeToFirstByte)
	return true
}

// fail records why the attempt ended, closes its connection and returns false.
func (a *attempt) fail(e endReason, detail string) bool {
	a.result.reason = e
	a.result.detail = detail
	a.closeConn()
	return false
}

// classifyHeaderError returns the end reason for an error that occurred before the response body.
func (a *attempt) classifyHeaderError(err error) endReason {
	var netErr net.Error
	switch {
	case errors.Is(err, berylresponse.ErrHeadTooLarge):
		return a.contextReasonOr(endTooLarge)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		return a.contextReasonOr(endConnectionLost)
	default:
		return a.contextReasonOr(endMalformed)
	}
}

// classifyBodyError returns the end reason for an error in the response body.
func (a *attempt) classifyBodyError(err error) endReason {
	switch {
	case errors.Is(err, errEventTooLarge), errors.Is(err, errAnswerTooLarge):
		return a.contextReasonOr(endTooLarge)
	case errors.Is(err, berylresponse.ErrNoRoom):
		return a.contextReasonOr(endNoRoom)
	case errors.Is(err, errEventMalformed), errors.Is(err, errBodyMalformed):
		return a.contextReasonOr(endMalformed)
	case errors.Is(err, errErrorEvent):
		return a.contextReasonOr(endServerError)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return a.contextReasonOr(endStalled)
	default:
		return a.contextReasonOr(endTruncated)
	}
}

// contextReasonOr returns the reason for which the attempt's context ended, or other if the context has not ended.
func (a *attempt) contextReasonOr(other endReason) endReason {
	switch cause := beryloutcome.Cause(a.ctx); {
	case cause == nil:
		return other
	case errors.Is(cause, errPermitYielded):
		return endYielded
	case errors.Is(cause, context.DeadlineExceeded):
		return endDeadline
	default:
		return endCancelled
	}
}

// releasePermit releases the permit, with a report of what the attempt showed about the upstream. Only the first call
// has an effect.
func (a *attempt) releasePermit() {
	a.releaseOnce.Do(func() {
		a.memory.Release()
		a.runner.countAttempt(a.result.reason)
		a.permit.Release(a.report())
	})
}

func (a *attempt) report() berylpermit.Report {
	busy := time.Since(a.startedAt)
	r := berylpermit.Report{
		TimeToFirstToken: a.timeToFirstByte,
		Tokens:           a.tokens,
		HeldFor:          busy,
		Fault:            a.result.reason.isUpstreamFault(a.isLate(busy)),
		Refused:          a.result.reason == endRefused,
	}
	if errors.Is(context.Cause(a.ctx), errOtherAttemptWon) && a.timeToFirstByte == 0 {
		r.TimeToFirstToken = busy
	}
	own := progress{repeatable: a.req.Repeatable}
	own.addResult(a.result)
	r.Kind = own.kind(a.result)
	if a.tokens > 1 {
		r.InterTokenLatency = a.meanTokenInterval()
	}
	return r
}

// isLate reports whether the upstream has taken unusually long for the first byte or, within a stream, for the next
// event.
func (a *attempt) isLate(busy time.Duration) bool {
	if a.timeToFirstByte == 0 {
		stats := a.runner.firstByteLatencies.stats(firstByteKey(a.req))
		return busy >= lateThreshold(stats, tokensBeforeFirstByte(a.req))
	}
	return a.mode == bodyEvents && busy-a.timeToLastToken >= stallTimeoutFor(a.runner.eventGaps.stats(eventGapKey(a.req)))
}

// meanTokenInterval returns the mean time between the events of a stream, which must have at least two.
func (a *attempt) meanTokenInterval() time.Duration {
	return (a.timeToLastToken - a.timeToFirstByte) / time.Duration(a.tokens-1)
}
