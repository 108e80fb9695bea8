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

// doneEvent is what a whole stream of an OpenAI-style engine ends with.
const doneEvent = "data: [DONE]"

// streamedAnswer is one answer that is passed on as it arrives.
type streamedAnswer struct {
	exchange *exchange
	pipe     *berylstream.Pipe
	ticket   berylonce.Ticket
	// head gets the status line once the first byte is there or the stream has ended well.
	head chan berylonce.Answer
	// refused gets the refusal of a call that ended before its first byte.
	refused chan *beryloutcome.Refusal
	started bool
	start   berylonce.Answer
	record  recorder
	// heldDone is a keyed stream's end marker, held back until the run is recorded.
	heldDone []byte
}

// serveStream runs a request whose answer is passed on as it arrives.
func (g *Gate) serveStream(c fiber.Ctx, x *exchange, request berylcall.Request, ticket berylonce.Ticket) error {
	ctx, cancel := context.WithDeadline(g.baseContext, request.Deadline)
	onClose := cancel
	if ticket != nil {
		onClose = func() {} // A keyed run goes on to its end, so that a resend finds its answer.
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
		stop = g.peers.Watch(c.RequestCtx().Conn(), cancel)
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

// run makes the call and ends the answer.
func (s *streamedAnswer) run(ctx context.Context, request berylcall.Request) {
	gate := s.exchange.gate
	defer func() {
		if v := recover(); v != nil {
			gate.metrics.panics.Inc()
			gate.config.Log.WithField("request", s.exchange.id).Errorf("gate: stream failed: %v\n%s", v, debug.Stack())
			s.fail(internalError())
		}
	}()
	result := gate.config.Calls.Do(ctx, request, s)
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

// Start keeps the status line until the first byte arrives.
func (s *streamedAnswer) Start(status int, contentType string) error {
	s.start = berylonce.Answer{Status: status, ContentType: contentType}
	return s.record.Start(status, contentType)
}

// Write passes an event on.
func (s *streamedAnswer) Write(event []byte) error {
	s.sendHead()
	if s.ticket == nil {
		return s.pipe.Put(event)
	}
	return s.writeKeyed(event)
}

// writeKeyed passes an event on and keeps it; it goes on keeping when the caller is gone.
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

// sendHead lets the handler send the status line.
func (s *streamedAnswer) sendHead() {
	if s.started {
		return
	}
	s.started = true
	s.exchange.firstByte.Store(int64(time.Since(s.exchange.started)))
	s.head <- s.start
}

func (s *streamedAnswer) succeed() {
	s.sendHead()
	gone := s.pipe.IsClosed()
	s.pipe.End(s.heldDone, nil)
	if gone {
		s.exchange.end(codeCallerGone)
		return
	}
	s.exchange.end(codeOK)
}

// fail ends the answer with its own status while none is sent, and else with an error event and a cut connection.
func (s *streamedAnswer) fail(refusal *beryloutcome.Refusal) {
	if !s.started {
		s.exchange.end(string(refusal.Code))
		s.refused <- refusal
		return
	}
	if s.pipe.IsClosed() {
		s.pipe.End(nil, berylstream.ErrTruncated)
		s.exchange.end(codeCallerGone)
		return
	}
	s.pipe.End(errorEvent(s.start.ContentType, refusal), berylstream.ErrTruncated)
	s.exchange.end(string(refusal.Code))
}

// errorEvent returns the event that tells a client of a stream's failure; only event streams can carry one.
func errorEvent(contentType string, refusal *beryloutcome.Refusal) []byte {
	if !bytes.HasPrefix([]byte(contentType), []byte(contentTypeStream)) {
		return nil
	}
	event := append([]byte("data: "), errorBody(refusal)...)
	return append(event, "\n\n"...)
}
