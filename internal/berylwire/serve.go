package berylwire

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/quic-go/quic-go"
	"github.com/sourcegraph/conc"
)

// handler handles the requests of one kind.
type handler struct {
	run     func(ctx context.Context, peer string, body []byte) reply
	slots   chan struct{}
	handled *metrics.Counter
	refused *metrics.Counter
}

// Handle registers the handler of a kind. It must be called before Serve, once per kind.
//
// The peer passed to h is the name in the caller's certificate. The context ends when the caller gives up or its
// connection is lost.
func Handle[Req, Reply any](e *Endpoint, kind string, h func(ctx context.Context, peer string, req Req) (Reply, error)) {
	if e.handlers[kind] != nil || len(kind) > maxKindBytes {
		panic("berylwire: kind registered twice or too long: " + kind)
	}
	e.handlers[kind] = newHandler(e, h)
	e.handlers[kind].handled = e.config.Metrics.NewCounter(fmt.Sprintf(`berylroad_wire_handled_total{kind=%q}`, kind))
	e.handlers[kind].refused = e.config.Metrics.NewCounter(fmt.Sprintf(`berylroad_wire_refused_total{kind=%q}`, kind))
}

// newHandler wraps a typed handler in the decoding of requests and the encoding of answers.
func newHandler[Req, Reply any](e *Endpoint, h func(context.Context, string, Req) (Reply, error)) *handler {
	run := func(ctx context.Context, peer string, body []byte) reply {
		var req Req
		if err := e.codec.dec.Unmarshal(body, &req); err != nil {
			return reply{Status: statusMalformed, Text: err.Error()}
		}
		answer, err := h(ctx, peer, req)
		if err != nil {
			return reply{Status: statusRemote, Text: err.Error()}
		}
		encoded, err := e.codec.enc.Marshal(answer)
		if err != nil {
			return reply{Status: statusRemote, Text: err.Error()}
		}
		return reply{Body: encoded}
	}
	return &handler{
		run:     run,
		slots:   make(chan struct{}, e.config.MaxConcurrentPerKind),
		handled: &metrics.Counter{},
		refused: &metrics.Counter{},
	}
}

// accept accepts connections from peers.
func (e *Endpoint) accept(ctx context.Context) {
	var conns conc.WaitGroup
	defer conns.Wait()
	slots := make(chan struct{}, maxIncomingConns)
	for {
		conn, err := e.listener.Accept(ctx)
		if err != nil {
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			_ = conn.CloseWithError(closeCode, "too many connections")
			continue
		}
		conns.Go(func() {
			defer func() { <-slots }()
			e.serveConn(ctx, conn)
		})
	}
}

// serveConn handles the streams of one connection.
func (e *Endpoint) serveConn(ctx context.Context, conn *quic.Conn) {
	defer func() { _ = conn.CloseWithError(closeCode, "closing") }()
	certs := conn.ConnectionState().TLS.PeerCertificates
	if len(certs) == 0 || len(certs[0].DNSNames) != 1 {
		return
	}
	peer := certs[0].DNSNames[0]
	var streams conc.WaitGroup
	defer streams.Wait()
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			_ = conn.CloseWithError(closeCode, "closing")
			return
		}
		streams.Go(func() { e.serveStream(peer, stream) })
	}
}

// serveStream reads one request and writes its reply.
func (e *Endpoint) serveStream(peer string, stream *quic.Stream) {
	_ = stream.SetReadDeadline(time.Now().Add(frameTimeout))
	var first [1]byte
	if _, err := io.ReadFull(stream, first[:]); err == nil && first[0] == duplexMark {
		e.serveDuplex(stream.Context(), peer, stream)
		return
	}
	defer func() { _ = stream.Close() }()
	frame, err := readFrame(io.MultiReader(bytes.NewReader(first[:]), stream), e.config.MaxFrameBytes)
	if err != nil {
		stream.CancelRead(refusedFrameCode)
		e.writeReply(stream, reply{Status: statusMalformed, Text: err.Error()})
		return
	}
	e.writeReply(stream, e.handleFrame(stream.Context(), peer, frame))
}

// handleFrame decodes a request and runs its handler.
func (e *Endpoint) handleFrame(ctx context.Context, peer string, frame []byte) reply {
	var req request
	if err := e.codec.dec.Unmarshal(frame, &req); err != nil {
		return reply{Status: statusMalformed, Text: err.Error()}
	}
	h := e.handlers[req.Kind]
	if h == nil {
		return reply{Status: statusUnknownKind, Text: "no handler for this kind"}
	}
	select {
	case h.slots <- struct{}{}:
	default:
		h.refused.Inc()
		return reply{Status: statusBusy, Text: "too many requests of this kind"}
	}
	defer func() { <-h.slots }()
	h.handled.Inc()
	return h.run(ctx, peer, req.Body)
}

func (e *Endpoint) writeReply(stream *quic.Stream, answer reply) {
	answer.Text = truncate(answer.Text, maxErrorBytes)
	frame, err := e.codec.enc.Marshal(answer)
	if err == nil && len(frame) > e.config.MaxFrameBytes {
		tooLarge := reply{Status: statusRemote, Text: errTooLarge(e.config.MaxFrameBytes).Error()}
		frame, err = e.codec.enc.Marshal(tooLarge)
	}
	if err != nil {
		stream.CancelWrite(cancelCode)
		return
	}
	_ = stream.SetWriteDeadline(time.Now().Add(frameTimeout))
	if _, err := stream.Write(frame); err != nil {
		stream.CancelWrite(cancelCode)
	}
}
