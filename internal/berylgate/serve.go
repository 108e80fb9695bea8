package berylgate

import (
	"context"
	"crypto/sha256"
	"net/http"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"berylroad.example/berylroad/internal/berylcall"
	"berylroad.example/berylroad/internal/beryldrain"
	"berylroad.example/berylroad/internal/berylonce"
	"berylroad.example/berylroad/internal/beryloutcome"
)

// finishTimeout bounds the recording of a keyed request's outcome; it starts when the call has ended, also after the
// request's deadline.
const finishTimeout = 10 * time.Second

// serveCall admits a valid request, sends it to an upstream and answers it.
func (g *Gate) serveCall(c fiber.Ctx, x *exchange, options requestOptions, request berylcall.Request) error {
	if !g.stop.Admits(drainRequest(&request), time.Now()) {
		return notRun("This host stops before the request can finish and has not run it; send it again, to another host.")
	}
	if refusal := x.admit(request.Tokens); refusal != nil {
		return refusal
	}
	ticket, refusal, replayed := g.beginKeyed(c.RequestCtx(), x, options, request)
	if refusal != nil || replayed {
		return asError(refusal)
	}
	if checker, ok := ticket.(berylonce.StartChecker); ok {
		request.Confirm = func(ctx context.Context) *beryloutcome.Refusal { return checker.Check(ctx, time.Now()) }
	}
	if request.Stream {
		return g.serveStream(c, x, request, ticket)
	}
	return g.servePlain(c, x, request, ticket)
}

// drainRequest returns what a planned stop needs to know of a request.
func drainRequest(r *berylcall.Request) beryldrain.Request {
	return beryldrain.Request{Route: r.Target, Tokens: r.Tokens, Deadline: r.Deadline}
}

// call makes the call of a request and records how long an answered one took.
func (g *Gate) call(ctx context.Context, request berylcall.Request, sink berylcall.Sink) beryloutcome.Result {
	began := time.Now()
	result := g.config.Calls.Do(ctx, request, sink)
	if result.Kind == beryloutcome.Answered {
		g.stop.Observe(drainRequest(&request), time.Since(began))
	}
	return result
}

// beginKeyed decides whether a keyed request is to run. It returns the ticket under which the request runs, a refusal, or
// true if it has answered the request with the recorded answer. For a request without a key it returns nothing.
func (g *Gate) beginKeyed(ctx *fasthttp.RequestCtx, x *exchange, options requestOptions, request berylcall.Request) (berylonce.Ticket, *beryloutcome.Refusal, bool) {
	if options.idempotencyKey == "" {
		return nil, nil, false
	}
	if g.config.Idempotency == nil {
		return nil, notRun("Keyed requests can't be kept now and this one was not run; send it again."), false
	}
	bounded, cancel := context.WithDeadline(g.baseContext, options.deadline)
	defer cancel()
	decision := g.config.Idempotency.Begin(bounded, berylonce.Intent{
		Caller:      x.caller.Name,
		Key:         options.idempotencyKey,
		BodyHash:    bodyHash(request),
		NeverRepeat: options.neverRepeat,
	})
	switch {
	case decision.Refusal != nil:
		return nil, decision.Refusal, false
	case decision.Replay != nil:
		writeAnswer(ctx, *decision.Replay)
		return nil, nil, true
	default:
		return decision.Run, nil, false
	}
}

// bodyHash returns a hash of the request, which distinguishes different requests with the same key.
func bodyHash(request berylcall.Request) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{request.Method, request.Target, request.Path, request.ContentType} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(request.Body)
	return [sha256.Size]byte(h.Sum(nil))
}

// servePlain runs a request and sends its answer once it is complete.
func (g *Gate) servePlain(c fiber.Ctx, x *exchange, request berylcall.Request, ticket berylonce.Ticket) error {
	ctx, cancel := context.WithDeadline(g.baseContext, request.Deadline)
	defer cancel()
	if ticket == nil {
		defer g.disconnects.Watch(c.RequestCtx().Conn(), cancel)()
	}
	var r recorder
	result := g.call(ctx, request, &r)
	if refusal := finishKeyed(ctx, ticket, result, r.answer); refusal != nil {
		return refusal
	}
	if result.Kind != beryloutcome.Answered {
		return refusalForResult(result)
	}
	x.firstByte.Store(int64(time.Since(x.started)))
	writeAnswer(c.RequestCtx(), r.answer)
	return nil
}

// finishKeyed records the outcome of a keyed request. The answer may be completed only if it returns no refusal.
func finishKeyed(ctx context.Context, ticket berylonce.Ticket, result beryloutcome.Result, answer berylonce.Answer) *beryloutcome.Refusal {
	if ticket == nil {
		return nil
	}
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	return ticket.Finish(bounded, result, answer)
}

func writeAnswer(ctx *fasthttp.RequestCtx, answer berylonce.Answer) {
	ctx.Response.SetStatusCode(answer.Status)
	ctx.Response.Header.SetContentType(answer.ContentType)
	ctx.Response.SetBodyRaw(answer.Body)
}

// asError returns the refusal as an error, or an untyped nil if there is none.
func asError(refusal *beryloutcome.Refusal) error {
	if refusal == nil {
		return nil
	}
	return refusal
}

// recorder is a berylcall.Sink that buffers the whole answer.
type recorder struct {
	answer berylonce.Answer
}

// Start records the status and the content type.
func (r *recorder) Start(status int, contentType string) error {
	r.answer.Status = status
	r.answer.ContentType = contentType
	return nil
}

// KeepsAnswer implements berylcall.Keeper.
func (r *recorder) KeepsAnswer() bool { return true }

// Write appends to the body.
func (r *recorder) Write(body []byte) error {
	if r.answer.Status == 0 {
		r.answer.Status = http.StatusOK
	}
	r.answer.Body = append(r.answer.Body, body...)
	return nil
}
