package berylwire

import (
	"context"
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// Call sends a request to a peer and waits for its answer until the context ends. Its error is an *Error.
//
// When the context ends, the context of the peer's handler ends as well.
func Call[Req, Reply any](ctx context.Context, e *Endpoint, peer Peer, kind string, req Req) (Reply, error) {
	return call[Req, Reply](ctx, e, peer, kind, req, false)
}

// CallIdempotent is Call for a request that may be handled twice: it is sent once more if its connection was lost.
func CallIdempotent[Req, Reply any](ctx context.Context, e *Endpoint, peer Peer, kind string, req Req) (Reply, error) {
	return call[Req, Reply](ctx, e, peer, kind, req, true)
}

func call[Req, Reply any](ctx context.Context, e *Endpoint, peer Peer, kind string, req Req, idempotent bool) (Reply, error) {
	var answer Reply
	body, fault, err := e.exchange(ctx, peer, kind, req, idempotent)
	if err == nil {
		err = e.codec.dec.Unmarshal(body, &answer)
		fault = BadReply
	}
	if err != nil {
		e.countCall(kind, fault)
		return answer, &Error{Fault: fault, Peer: peer.Name, Kind: kind, Cause: err}
	}
	e.countCall(kind, 0)
	return answer, nil
}

// callCounters holds the counters of one kind of call, indexed by fault. The first one counts the answered calls.
type callCounters [BadReply + 1]*metrics.Counter

func (e *Endpoint) countCall(kind string, fault Fault) {
	found, ok := e.countersByKind.Load(kind)
	if !ok {
		made := &callCounters{}
		for f := range made {
			name := fmt.Sprintf(`berylroad_wire_calls_total{kind=%q,result=%q}`, kind, Fault(f).String())
			made[f] = e.config.Metrics.GetOrCreateCounter(name)
		}
		found, _ = e.countersByKind.LoadOrStore(kind, made)
	}
	found.(*callCounters)[fault].Inc()
}

// exchange sends a request and returns the body of the answer. It uses a second connection if the first one turns out
// to be dead.
func (e *Endpoint) exchange(ctx context.Context, peer Peer, kind string, req any, idempotent bool) ([]byte, Fault, error) {
	body, err := e.codec.enc.Marshal(req)
	if err != nil {
		return nil, Unreachable, errors.Wrap(err, "encode")
	}
	frame, err := e.codec.enc.Marshal(request{Kind: kind, Body: body})
	if err != nil {
		return nil, Unreachable, errors.Wrap(err, "encode")
	}
	if len(frame) > e.config.MaxFrameBytes {
		return nil, Unreachable, errTooLarge(e.config.MaxFrameBytes)
	}
	answer, fault, stale, err := e.attempt(ctx, peer, frame)
	if stale && ctx.Err() == nil && (fault == Unreachable || idempotent) {
		answer, fault, _, err = e.attempt(ctx, peer, frame)
	}
	return answer, fault, err
}

// attempt sends a frame over the connection to the peer. stale says that the connection is dead.
func (e *Endpoint) attempt(ctx context.Context, peer Peer, frame []byte) (body []byte, fault Fault, stale bool, err error) {
	c, err := e.pool.acquire(peer, e.startDial)
	if err != nil {
		return nil, Unreachable, false, err
	}
	defer e.pool.release(c)
	select {
	case <-ctx.Done():
		return nil, Unreachable, false, ctx.Err()
	case <-c.ready:
	}
	if c.err != nil {
		return nil, Unreachable, false, errors.Wrap(opaque(c.err), "connect")
	}
	body, fault, err = e.transfer(ctx, c.conn, frame)
	stale = connectionLost(err)
	if stale {
		e.pool.forget(peer, c)
	}
	return body, fault, stale, err
}

// transfer sends a frame over a connection and reads the answer.
func (e *Endpoint) transfer(ctx context.Context, conn *quic.Conn, frame []byte) ([]byte, Fault, error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, Unreachable, errors.Wrap(opaque(err), "open a stream")
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(cancelCode)
		stream.CancelWrite(cancelCode)
	})
	defer stop()
	// The read below detects a failed write: the peer may have answered without reading the whole request.
	_, _ = stream.Write(frame)
	_ = stream.Close()
	received, err := readFrame(stream, e.config.MaxFrameBytes)
	if err != nil {
		stream.CancelRead(cancelCode)
		return nil, faultWithoutAnswer(err), errors.CombineErrors(ctx.Err(), opaque(err))
	}
	var answer reply
	if err := e.codec.dec.Unmarshal(received, &answer); err != nil {
		return nil, BadReply, err
	}
	if answer.Status != statusOK {
		return nil, answer.Status.fault(), errors.Newf("%s", truncate(answer.Text, maxErrorBytes))
	}
	return answer.Body, 0, nil
}

// connectionLost reports whether an error ended the whole connection rather than one stream. It checks the error and not
// the connection's context, which may end slightly later.
func connectionLost(err error) bool {
	var reset *quic.StatelessResetError
	var idle *quic.IdleTimeoutError
	var closed *quic.ApplicationError
	var refused *quic.TransportError
	return errors.As(err, &reset) || errors.As(err, &idle) || errors.As(err, &closed) || errors.As(err, &refused)
}

// faultWithoutAnswer returns the fault of a request that got no answer.
//
// With TLS 1.3, a peer checks our certificate after we have begun to send. If it refuses the certificate, it has not
// read any request.
func faultWithoutAnswer(err error) Fault {
	var refused *quic.TransportError
	if errors.As(err, &refused) && refused.Remote && refused.ErrorCode.IsCryptoError() {
		return Unreachable
	}
	return Lost
}
