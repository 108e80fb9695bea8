package berylrelay

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylresponse"
)

// errUnnumbered ends a call that is to continue a stream and sends data that belongs to no numbered event, such as the text of an
// error.
var errUnnumbered = errors.New("an event without a number instead of the rest of the stream")

// passBody passes on an answer that is not a stream: at once when it is complete, or as it arrives if it is long or there is no memory
// to hold it.
func (x *exchange) passBody(ctx context.Context, reply *Reply, stall *stallTimer, report *berylpermit.Report) step {
	memory := x.Memory.NewReservation()
	defer memory.Release()
	body, whole, err := x.holdBody(reply.Body, stall, memory)
	if err != nil {
		return x.handleFailure(ctx, report, err)
	}
	stall.stop() // once a part has been passed on, no other upstream may run the request
	if !whole && errors.Is(context.Cause(ctx), errStalled) {
		return x.handleFailure(ctx, report, errStalled)
	}
	if x.started {
		x.cause = errors.Newf("status %d instead of the rest of the stream", reply.Status)
		return stepFail
	}
	report.Kind = beryloutcome.Answered
	if reply.Status == http.StatusOK {
		x.Quarantine.RecordBegin(x.service, x.prompt)
	}
	x.Quarantine.RecordSound(x.prompt)
	if reply.Status >= http.StatusInternalServerError {
		report.Kind = beryloutcome.Failed
	}
	length := len(body)
	if !whole {
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
	if whole {
		return stepDone
	}
	passed := len(body)
	body = nil
	memory.Release()
	return x.passLongBody(ctx, reply, report, passed)
}

// holdBody reads a body until it is complete, over maxBufferedBytes or there is no memory for more of it. Any byte is progress.
func (x *exchange) holdBody(body io.Reader, stall *stallTimer, memory *berylresponse.Reservation) (held []byte, whole bool, err error) {
	for len(held) <= maxBufferedBytes {
		grown, err := memory.Grow(held, maxBufferedBytes+1)
		if err != nil {
			return held, false, nil
		}
		n, err := body.Read(grown[len(grown):cap(grown)])
		held = grown[:len(grown)+n]
		if n > 0 {
			x.recordProgress(stall)
		}
		if IsCleanEOF(err) {
			return held, len(held) <= maxBufferedBytes, nil
		}
		if err != nil {
			return held, false, err
		}
	}
	return held, false, nil
}

// passLongBody passes on the rest of a long answer. An answer over maxAnswerBytes is cut off, so that it does not
// look complete to the caller.
func (x *exchange) passLongBody(ctx context.Context, reply *Reply, report *berylpermit.Report, passed int) step {
	buffer := make([]byte, passBufferBytes)
	for {
		n, err := reply.Body.Read(buffer)
		passed += n
		if n > 0 {
			x.lastProgress = time.Now()
		}
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
	memory := x.Memory.NewReservation()
	defer memory.Release()
	events := EventReader{Reader: bufio.NewReaderSize(reply.Body, eventBufferBytes), Memory: memory}
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
		if x.isContinued() && !event.HasID && event.HasData {
			return x.handleFailure(ctx, report, errUnnumbered)
		}
		if x.hasEvent && event.HasID && event.ID <= x.lastEvent {
			continue
		}
		if event.HasID {
			// Comments and repeated events do not count as progress: an upstream that sends nothing else has stalled. The time that
			// the caller takes to read the event is no silence of the upstream.
			stall.pauseForEvent()
			x.lastProgress = time.Now()
			if report.Tokens == 0 {
				report.TimeToFirstToken = time.Since(began)
				x.Quarantine.RecordBegin(x.service, x.prompt)
			}
			report.Tokens++
			if report.Tokens == soundEvents {
				x.Quarantine.RecordSound(x.prompt)
			}
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
			x.recordProgress(stall)
		} else if !x.hasEvent {
			stall.stop() // the head has been passed on without an event after which the stream could go on
		}
	}
}

// recordProgress begins a new period of silence after a part of the answer.
func (x *exchange) recordProgress(stall *stallTimer) {
	x.lastProgress = time.Now()
	stall.start()
}

// isContinued reports whether the caller has events of an earlier call.
func (x *exchange) isContinued() bool {
	return x.request.TakesUp || x.hasEvent && x.possibleRuns > 1
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
	if report.Tokens < soundEvents {
		x.Quarantine.RecordSound(x.prompt)
	}
	return stepDone
}
