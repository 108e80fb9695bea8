package berylcall

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	dialTimeout = 2 * time.Second
	// headerBytes bounds the header of an answer.
	headerBytes = 16 << 10
	writeBytes  = 4 << 10
)

// conn is one connection to an upstream. It carries one call at a time and is reused only after a whole answer.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// sent counts the bytes of the present call that may have left.
	sent atomic.Int64
	// reused marks a connection that has carried a call before.
	reused bool
	// since is when it became idle.
	since time.Time
}

// Write counts the bytes before they may leave.
func (c *conn) Write(data []byte) (int, error) {
	c.sent.Add(int64(len(data)))
	return c.Conn.Write(data)
}

// dial opens a connection to an upstream, with TLS where config is not nil.
func dial(ctx context.Context, addr string, config *tls.Config) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if config != nil {
		secure := tls.Client(raw, config)
		if err := secure.HandshakeContext(ctx); err != nil {
			raw.Close()
			return nil, err
		}
		raw = secure
	}
	c := &conn{Conn: raw}
	c.reader = bufio.NewReaderSize(c, headerBytes)
	c.writer = bufio.NewWriterSize(c, writeBytes)
	return c, nil
}

// quiet reports whether an idle connection is still open and holds no byte that nobody asked for.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	below := c.Conn
	if secure, ok := below.(*tls.Conn); ok {
		below = secure.NetConn()
	}
	raw, ok := below.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	var one [1]byte
	err = control.Read(func(fd uintptr) bool {
		_, _, peeked = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && peeked == syscall.EAGAIN
}
