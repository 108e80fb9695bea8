package berylwire

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

const (
	// duplexMark is the first byte of a duplex stream. No request begins with it, since requests are CBOR arrays.
	duplexMark = 0x00
	// maxHeaderBytes bounds the header of a duplex stream and its acknowledgement, in bytes.
	maxHeaderBytes = 4 << 10
	// duplexCheckKind is the kind of a duplex stream that asks whether the peer knows such streams. No handler has it.
	duplexCheckKind = "duplex-check"
	// abortCode ends a duplex stream whose data is incomplete.
	abortCode = quic.StreamErrorCode(3)
)

// Values of peerConn.duplex.
const (
	duplexUnchecked int32 = iota
	duplexSupported
	duplexUnsupported
)

// duplexHandler handles the duplex streams of one kind.
type duplexHandler func(ctx context.Context, peer string, header []byte, accept func() (*Duplex, error)) error

// Duplex is a stream of bytes in both directions between two hosts.
type Duplex struct {
	stream  *quic.Stream
	release func()
}

// Read reads what the other host has written. It returns io.EOF only after the other host has called CloseWrite.
func (d *Duplex) Read(p []byte) (int, error) {
	n, err := d.stream.Read(p)
	if err != nil && err != io.EOF { //nolint:errorlint // A wrapped io.EOF is not the regular end of the stream.
		err = opaque(err)
	}
	return n, err
}

// Write writes to the other host. It blocks while the other host does not read.
func (d *Duplex) Write(p []byte) (int, error) {
	n, err := d.stream.Write(p)
	if err != nil {
		err = opaque(err)
	}
	return n, err
}

// CloseWrite tells the other host that everything has been written.
func (d *Duplex) CloseWrite() error {
	return d.stream.Close()
}

// Abort ends the stream in both directions. The other host's Read fails unless it has read everything up to CloseWrite.
func (d *Duplex) Abort() {
	d.stream.CancelRead(abortCode)
	d.stream.CancelWrite(abortCode)
	if d.release != nil {
		d.release()
	}
}

// HandleDuplex registers the handler of duplex streams of a kind. It must be called before Serve, once per kind. The handler
// calls accept to tell the peer that it may begin; if it returns an error before, the peer's OpenDuplex fails with it. The
// stream is aborted when the handler returns, so a handler that has called CloseWrite must first read to the end.
func HandleDuplex[Header any](e *Endpoint, kind string, h func(ctx context.Context, peer string, header Header, accept func() (*Duplex, error)) error) {
	if e.duplexHandlers[kind] != nil || len(kind) > maxKindBytes {
		panic("berylwire: kind registered twice or too long: " + kind)
	}
	e.duplexHandlers[kind] = func(ctx context.Context, peer string, body []byte, accept func() (*Duplex, error)) error {
		var header Header
		if err := e.codec.dec.Unmarshal(body, &header); err != nil {
			return err
		}
		return h(ctx, peer, header, accept)
	}
}

// OpenDuplex opens a duplex stream to a peer and waits until the peer has accepted it or ctx ends. Its error is an *Error;
// with the fault Remote it has the text of the peer's error. The stream must be ended with Abort.
func OpenDuplex[Header any](ctx context.Context, e *Endpoint, peer Peer, kind string, header Header) (*Duplex, error) {
	d, fault, err := e.openDuplex(ctx, peer, kind, header)
	if err != nil {
		e.countCall(kind, fault)
		return nil, &Error{Fault: fault, Peer: peer.Name, Kind: kind, Cause: err}
	}
	e.countCall(kind, 0)
	return d, nil
}

func (e *Endpoint) openDuplex(ctx context.Context, peer Peer, kind string, header any) (*Duplex, Fault, error) {
	body, err := e.codec.enc.Marshal(header)
	if err != nil {
		return nil, Unreachable, errors.Wrap(err, "encode")
	}
	frame, err := e.codec.enc.Marshal(request{Kind: kind, Body: body})
	if err != nil {
		return nil, Unreachable, errors.Wrap(err, "encode")
	}
	c, err := e.pool.acquire(peer, e.startDial)
	if err != nil {
		return nil, Unreachable, err
	}
	d := &Duplex{}
	ok := false
	defer func() {
		if !ok {
			e.pool.release(c)
		}
	}()
	select {
	case <-ctx.Done():
		return nil, Unreachable, ctx.Err()
	case <-c.ready:
	}
	if c.err != nil {
		return nil, Unreachable, errors.Wrap(opaque(c.err), "connect")
	}
	if fault, err := e.checkDuplex(ctx, c); err != nil {
		if connectionLost(err) {
			e.pool.forget(peer, c)
		}
		return nil, fault, errors.CombineErrors(ctx.Err(), opaque(err))
	}
	if d.stream, err = c.conn.OpenStreamSync(ctx); err != nil {
		if connectionLost(err) {
			e.pool.forget(peer, c)
		}
		return nil, Unreachable, errors.Wrap(opaque(err), "open a stream")
	}
	stop := context.AfterFunc(ctx, d.Abort)
	answer, fault, err := e.beginDuplex(d.stream, frame)
	if err == nil && !stop() {
		fault, err = Lost, ctx.Err()
	}
	if err != nil {
		stop()
		d.Abort()
		if connectionLost(err) {
			e.pool.forget(peer, c)
		}
		return nil, fault, errors.CombineErrors(ctx.Err(), opaque(err))
	}
	if answer.Status != statusOK {
		d.Abort()
		return nil, answer.Status.fault(), errors.Newf("%s", truncate(answer.Text, maxErrorBytes))
	}
	ok = true
	d.release = sync.OnceFunc(func() { e.pool.release(c) })
	return d, 0, nil
}

// checkDuplex returns the fault UnknownKind if the peer does not know duplex streams. It asks once a connection. A build that does not
// know them reads a stream to its end before it answers, so the question is a stream that has ended.
func (e *Endpoint) checkDuplex(ctx context.Context, c *peerConn) (Fault, error) {
	if c.duplex.Load() == duplexUnchecked {
		supported, fault, err := e.askDuplex(ctx, c)
		if err != nil {
			return fault, err
		}
		if supported {
			c.duplex.Store(duplexSupported)
		} else {
			c.duplex.Store(duplexUnsupported)
		}
	}
	if c.duplex.Load() == duplexUnsupported {
		return UnknownKind, errors.New("the peer is of a build without duplex streams")
	}
	return 0, nil
}

func (e *Endpoint) askDuplex(ctx context.Context, c *peerConn) (supported bool, fault Fault, err error) {
	frame, err := e.codec.enc.Marshal(request{Kind: duplexCheckKind})
	if err != nil {
		return false, Unreachable, errors.Wrap(err, "encode")
	}
	stream, err := c.conn.OpenStreamSync(ctx)
	if err != nil {
		return false, Unreachable, errors.Wrap(err, "open a stream")
	}
	stop := context.AfterFunc(ctx, func() { stream.CancelRead(abortCode) })
	defer stop()
	defer stream.CancelRead(abortCode)
	// The read below detects a failed write: the peer may have answered without reading the whole frame.
	_, _ = stream.Write(append([]byte{duplexMark}, withLength(frame)...))
	_ = stream.Close()
	received, err := readFrame(stream, maxHeaderBytes)
	if err != nil {
		return false, faultWithoutAnswer(err), err
	}
	var answer reply
	unframed, err := readWithLength(bytes.NewReader(received))
	return err == nil && e.codec.dec.Unmarshal(unframed, &answer) == nil, 0, nil
}

// beginDuplex writes the header of a duplex stream and reads the acknowledgement.
func (e *Endpoint) beginDuplex(stream *quic.Stream, frame []byte) (reply, Fault, error) {
	var answer reply
	// The read below detects a failed write: the peer may have refused the stream before the write has returned.
	_, _ = stream.Write(append([]byte{duplexMark}, withLength(frame)...))
	received, err := readWithLength(stream)
	if err != nil {
		return answer, faultWithoutAnswer(err), err
	}
	if err := e.codec.dec.Unmarshal(received, &answer); err != nil {
		return answer, BadReply, err
	}
	return answer, 0, nil
}

// serveDuplex serves a duplex stream after its mark.
func (e *Endpoint) serveDuplex(ctx context.Context, peer string, stream *quic.Stream) {
	d := &Duplex{stream: stream}
	frame, err := readWithLength(stream)
	if err != nil {
		d.Abort()
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	accepted := false
	err = e.handleDuplex(ctx, peer, frame, func() (*Duplex, error) {
		accepted = true
		return d, e.writeAnswer(stream, reply{})
	})
	if accepted {
		d.Abort()
		return
	}
	if err == nil {
		err = errors.New("not accepted")
	}
	if e.writeAnswer(stream, reply{Status: statusRemote, Text: err.Error()}) == nil {
		_ = d.CloseWrite() // without Abort, which might overtake the answer
	}
	stream.CancelRead(abortCode)
}

func (e *Endpoint) handleDuplex(ctx context.Context, peer string, frame []byte, accept func() (*Duplex, error)) error {
	var req request
	if err := e.codec.dec.Unmarshal(frame, &req); err != nil {
		return err
	}
	h := e.duplexHandlers[req.Kind]
	if h == nil {
		return errors.Newf("no handler for duplex streams of kind %s", truncate(req.Kind, maxKindBytes))
	}
	return h(ctx, peer, req.Body, accept)
}

func (e *Endpoint) writeAnswer(stream *quic.Stream, answer reply) error {
	answer.Text = truncate(answer.Text, maxErrorBytes)
	frame, err := e.codec.enc.Marshal(answer)
	if err != nil {
		return err
	}
	_, err = stream.Write(withLength(frame))
	return err
}

// withLength returns a frame preceded by its length.
func withLength(frame []byte) []byte {
	return append(binary.BigEndian.AppendUint16(nil, uint16(len(frame))), frame...)
}

// readWithLength reads a frame preceded by its length.
func readWithLength(r io.Reader) ([]byte, error) {
	var length [2]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint16(length[:]))
	if n > maxHeaderBytes {
		return nil, errTooLarge(maxHeaderBytes)
	}
	frame := make([]byte, n)
	_, err := io.ReadFull(r, frame)
	return frame, err
}
