package berylcall

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"berylroad.example/berylroad/internal/berylsocket"
)

const (
	dialTimeout = 2 * time.Second
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes   = 16 << 10
	writeBufferBytes = 4 << 10
)

// conn is one connection to an upstream. It carries one call at a time and is reused only after a complete answer.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// sentBytes counts the bytes of the current call that may have been sent.
	sentBytes atomic.Int64
	// answered is set once bytes have arrived for the current call.
	answered bool
	// reused marks a connection that has carried an earlier call.
	reused bool
	// waitOn, if not nil, is called when a read deadline has passed. It reports whether to read on, and sets the next deadline then.
	waitOn func() bool
	// idleSince is when the connection became idle.
	idleSince time.Time
}

// Read marks that an answer has begun.
func (c *conn) Read(data []byte) (int, error) {
	for {
		n, err := c.Conn.Read(data)
		c.answered = c.answered || n > 0
		if n > 0 || c.waitOn == nil || !errors.Is(err, os.ErrDeadlineExceeded) || !c.waitOn() {
			return n, err
		}
	}
}

// Write counts the bytes before it writes them, so that sentBytes is never too low.
func (c *conn) Write(data []byte) (int, error) {
	c.sentBytes.Add(int64(len(data)))
	return c.Conn.Write(data)
}

// dial opens a connection to an upstream. It uses TLS if config is not nil.
func dial(ctx context.Context, addr string, config *tls.Config) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if err := raw.(*net.TCPConn).SetReadBuffer(berylsocket.ReceiveBuffer); err != nil {
		raw.Close()
		return nil, err
	}
	if config != nil {
		tlsConn := tls.Client(raw, config)
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			raw.Close()
			return nil, err
		}
		raw = tlsConn
	}
	c := &conn{Conn: raw}
	c.reader = bufio.NewReaderSize(c, maxHeaderBytes)
	c.writer = bufio.NewWriterSize(c, writeBufferBytes)
	return c, nil
}

// isReusable reports whether an idle connection is still open and has no unread bytes, which would not belong to any
// request.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	inner := c.Conn
	if tlsConn, ok := inner.(*tls.Conn); ok {
		inner = tlsConn.NetConn()
	}
	raw, ok := inner.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	var next [1]byte
	err = control.Read(func(fd uintptr) bool {
		_, _, peeked = syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && peeked == syscall.EAGAIN
}
