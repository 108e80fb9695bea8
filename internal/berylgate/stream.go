package berylgate

import (
	"bytes"
	"context"
	"runtime/debug"
	"time"

	"github.com/gofiber/fiber/v3"

	"berylroad.example/berylroad/internal/berylcall"
	"berylroad.example/berylroad/internal/berylonce"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylstream"
)

// doneEvent begins the last event of a complete stream in the OpenAI API.
const doneEvent = "data: [DONE]"

// streamedAnswer is the berylcall.Sink of an answer that is sent to the caller as it arrives.
type streamedAnswer struct {
	exchange *exchange
	pipe     *berylstream.Pipe
	ticket   berylonce.Ticket
	// head receives the status and content type once the first byte has arrived or the stream has ended successfully.
	head chan berylonce.Answer
	// refused receives the refusal of a call that ended before its first byte.
	refused chan *beryloutcome.Refusal
	// headSent is set once pendingHead has been sent to the channel head.
	headSent    bool
	pendingHead berylonce.Answer
	// record buffers the answer of a keyed request for its record.
	record recorder
	// heldDone is the last event of a keyed stream, held back until the outcome is recorded.
	heldDone []byte
}

// serveStream runs a request and sends its answer as it arrives.
func (g *Gate) serveStream(c fiber.Ctx, x *exchange, request berylcall.Request, ticket berylonce.Ticket) error {
	ctx, cancel := context.WithDeadline(g.baseContext, request.Deadline)
	onClose := cancel
	if ticket != nil {
		onClose = func() {} // a keyed request runs to its end, so that a resend finds its answer
	}
	s := &streamedAnswer{
		exchange: x,
		pipe:     berylstream.NewPipe(c.RequestCtx().Conn(), onClose),
		ticket:   ticket,
		head:     make(chan berylonce.Answer, 1),
		refused:  make(chan *beryloutcome.Refusal, 1),
	}
	stop := func() {}
	if ticket == nil {
		stop = g.disconnects.Watch(c.RequestCtx().Conn(), cancel)
	}
	x.detached = true
	g.streams.Go(func() {
		defer cancel()
		defer stop()
		s.run(ctx, request)
	})
	select {
	case refusal := <-s.refused:
		return refusal
	case head := <-s.head:
		c.RequestCtx().Response.SetStatusCode(head.Status)
		c.RequestCtx().Response.Header.SetContentType(head.ContentType)
		c.RequestCtx().Response.Header.Set(fiber.HeaderCacheControl, "no-cache")
		c.RequestCtx().Response.SetBodyStream(s.pipe, -1)
		return nil
	}
}

// run makes the call and then completes the answer, or ends it with a refusal if the call failed.
func (s *streamedAnswer) run(ctx context.Context, request berylcall.Request) {
	gate := s.exchange.gate
	defer func() {
		if v := recover(); v != nil {
			gate.metrics.panics.Inc()
			gate.config.Log.WithField("request", s.exchange.id).Errorf("gate: stream failed: %v\n%s", v, debug.Stack())
			s.fail(internalError())
		}
	}()
	result := gate.call(ctx, request, s)
	refusal := finishKeyed(ctx, s.ticket, result, s.record.answer)
	if refusal == nil && result.Kind != beryloutcome.Answered {
		refusal = refusalForResult(result)
	}
	if refusal != nil {
		s.fail(refusal)
		return
	}
	s.succeed()
}

// Start keeps the status and content type until the first byte arrives.
func (s *streamedAnswer) Start(status int, contentType string) error {
	s.pendingHead = berylonce.Answer{Status: status, ContentType: contentType}
	return s.record.Start(status, contentType)
}

// KeepsAnswer implements berylcall.Keeper.
func (s *streamedAnswer) KeepsAnswer() bool { return s.ticket != nil }

// Write sends an event to the caller.
func (s *streamedAnswer) Write(event []byte) error {
	s.sendHead()
	if s.ticket == nil {
		return s.pipe.Put(event)
	}
	return s.writeKeyed(event)
}

// writeKeyed records an event and sends it to the caller. It keeps recording after the caller has closed the connection.
func (s *streamedAnswer) writeKeyed(event []byte) error {
	if err := s.record.Write(event); err != nil {
		return err
	}
	if bytes.HasPrefix(event, []byte(doneEvent)) {
		s.heldDone = bytes.Clone(event)
		return nil
	}
	_ = s.pipe.Put(event)
	return nil
}

// sendHead lets serveStream, which waits for head, send the status and headers.
func (s *streamedAnswer) sendHead() {
	if s.headSent {
		return
	}
	s.headSent = true
	s.exchange.firstByte.Store(int64(time.Since(s.exchange.started)))
	s.head <- s.pendingHead
}

func (s *streamedAnswer) succeed() {
	s.sendHead()
	callerGone := s.pipe.IsClosed()
	s.pipe.End(s.heldDone, nil)
	if callerGone {
		s.exchange.end(codeCallerGone)
		return
	}
	s.exchange.end(codeOK)
}

// fail ends the answer with the refusal and its status if no status was sent yet, and otherwise with an error event and a
// truncated stream, so that the caller can't take the answer for complete.
func (s *streamedAnswer) fail(refusal *beryloutcome.Refusal) {
	if !s.headSent {
		s.exchange.end(string(refusal.Code))
		s.refused <- refusal
		return
	}
	if s.pipe.IsClosed() {
		s.pipe.End(nil, berylstream.ErrTruncated)
		s.exchange.end(codeCallerGone)
		return
	}
	s.pipe.End(errorEvent(s.pendingHead.ContentType, refusal), berylstream.ErrTruncated)
	s.exchange.end(string(refusal.Code))
}

// errorEvent returns the event that reports a failed stream to the caller, or nil if the answer is no event stream.
func errorEvent(contentType string, refusal *beryloutcome.Refusal) []byte {
	if !bytes.HasPrefix([]byte(contentType), []byte(contentTypeStream)) {
		return nil
	}
	event := append([]byte("data: "), errorBody(refusal)...)
	return append(event, "\n\n"...)
}
