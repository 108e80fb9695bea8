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
)

var (
	errYield = errors.New("the owner wants the permit back")
	errLoser = errors.New("another call for the request was faster")
)

// attempt is one call to one upstream under one permit.
type attempt struct {
	runner *Runner
	req    *Request
	permit *berylpermit.Permit
	body   []byte
	limit  int64
	// continued marks a call whose answer goes on from what the sink has.
	continued bool
	// stall is the longest pause between two events, or zero for any.
	stall time.Duration

	ctx     context.Context
	cancel  context.CancelCauseFunc
	release sync.Once

	addr     string
	conn     *conn
	detach   func() bool
	response fasthttp.Response
	stream   io.Reader
	mode     bodyMode
	events   events
	first    event
	read     int64

	began      time.Time
	firstByte  time.Duration
	lastByte   time.Duration
	tokens     int
	stallSince time.Time
	end        end
}

// newAttempt prepares a call; its context ends with ctx, with the attempt's cancel and with the permit's yield.
func newAttempt(ctx context.Context, r *Runner, req *Request, permit *berylpermit.Permit, body []byte, limit int64) *attempt {
	a := &attempt{runner: r, req: req, permit: permit, body: body, limit: limit, began: time.Now()}
	a.end.upstream = permit.Upstream
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	return a
}

// watchYield cancels the call when the owner wants the permit back; it returns when the call has ended.
func (a *attempt) watchYield() {
	select {
	case <-a.permit.Yield:
		a.cancel(errYield)
	case <-a.ctx.Done():
	}
}

// open sends the request and reads until the first byte of the answer's body, for a stream until its first event.
// It reports whether there is an answer to pass on.
func (a *attempt) open(base string) bool {
	if !a.connect(base) {
		return false
	}
	err := a.exchange()
	if err != nil && a.retryStale() {
		a.hangUp()
		if !a.connect(base) {
			return false
		}
		err = a.exchange()
	}
	if err != nil {
		return a.fail(a.headerEnding(err), err.Error())
	}
	return a.accept()
}

// retryStale reports whether a kept connection was closed by the upstream just as the request was written to it.
func (a *attempt) retryStale() bool {
	return a.conn.reused && a.req.Repeatable && a.ctx.Err() == nil
}

// exchange writes the request and reads the header of the answer.
func (a *attempt) exchange() error {
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
	a.response.StreamBody = true
	a.response.SkipBody = a.req.Method == fasthttp.MethodHead
	return a.response.Read(a.conn.reader)
}

// accept sorts the answer by its header and, for a stream, reads the first event.
func (a *attempt) accept() bool {
	status := a.response.StatusCode()
	a.end.status = status
	if id := a.response.Header.Peek("X-Request-Id"); len(id) > 0 && string(id) != a.req.ID {
		return a.fail(endCrossed, "the answer carries another request's id")
	}
	if e := statusEnding(status, a.req.Repeatable); e != endWhole {
		return a.fail(e, statusDetail(status))
	}
	a.stream = a.response.BodyStream()
	a.mode = a.bodyMode()
	if a.continued && (a.mode != bodyEvents || status != fasthttp.StatusOK) {
		return a.fail(endServer, "it did not continue the answer")
	}
	if a.mode == bodyEvents {
		return a.firstEvent()
	}
	a.firstByte = time.Since(a.began)
	return true
}

func (a *attempt) firstEvent() bool {
	a.events.body = bodyReader{a}
	e, err := a.events.next()
	if err != nil {
		return a.fail(a.bodyEnding(err), err.Error())
	}
	a.firstByte = time.Since(a.began)
	a.first = e
	a.runner.countFirstToken(a.req.Class, a.firstByte)
	return true
}

// fail notes how the call ended and closes its connection.
func (a *attempt) fail(e ending, detail string) bool {
	a.end.ending = e
	a.end.detail = detail
	a.hangUp()
	return false
}

// headerEnding sorts an error from before the answer's body.
func (a *attempt) headerEnding(err error) ending {
	var small *fasthttp.ErrSmallBuffer
	var nerr net.Error
	switch {
	case errors.As(err, &small):
		return a.cancelled(endTooLarge)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &nerr):
		return a.cancelled(endLost)
	default:
		return a.cancelled(endGarbage)
	}
}

// bodyEnding sorts an error from the answer's body.
func (a *attempt) bodyEnding(err error) ending {
	switch {
	case errors.Is(err, errEventTooLarge), errors.Is(err, errAnswerTooLarge):
		return a.cancelled(endTooLarge)
	case errors.Is(err, errEventGarbage), errors.Is(err, errBodyGarbage):
		return a.cancelled(endGarbage)
	case errors.Is(err, errEventFailed):
		return a.cancelled(endServer)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return a.cancelled(endStalled)
	default:
		return a.cancelled(endCut)
	}
}

// cancelled returns why the call's context ended, or other when it did not.
func (a *attempt) cancelled(other ending) ending {
	switch cause := beryloutcome.Cause(a.ctx); {
	case cause == nil:
		return other
	case errors.Is(cause, errYield):
		return endYielded
	case errors.Is(cause, context.DeadlineExceeded):
		return endDeadline
	default:
		return endCancelled
	}
}

// finish gives the permit back with what the call has shown.
func (a *attempt) finish() {
	a.release.Do(func() {
		a.runner.countAttempt(a.end.ending)
		a.permit.Release(a.report())
	})
}

func (a *attempt) report() berylpermit.Report {
	busy := time.Since(a.began)
	r := berylpermit.Report{
		TimeToFirstToken: a.firstByte,
		Tokens:           a.tokens,
		HeldFor:          busy,
		Fault:            a.end.ending.fault(a.late(busy)),
		Refused:          a.end.ending == endRefused,
	}
	if errors.Is(context.Cause(a.ctx), errLoser) && a.firstByte == 0 {
		r.TimeToFirstToken = busy
	}
	single := progress{repeatable: a.req.Repeatable}
	single.add(a.end)
	r.Kind = single.kind(a.end)
	if a.tokens > 1 {
		r.InterTokenLatency = a.gap()
	}
	return r
}

// late reports whether the first byte, or the event after the last one, has been missing for unusually long.
func (a *attempt) late(busy time.Duration) bool {
	if a.firstByte == 0 {
		known := a.runner.latencies.typical(keyOf(a.req))
		return busy >= lateAfter(known, tokensBefore(a.req))
	}
	return a.mode == bodyEvents && busy-a.lastByte >= stallAfter(a.runner.gaps.typical(gapKey(a.req)))
}

// gap returns the mean time between a stream's events, of which there must be two.
func (a *attempt) gap() time.Duration {
	return (a.lastByte - a.firstByte) / time.Duration(a.tokens-1)
}
