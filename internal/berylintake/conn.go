package berylintake

import (
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// lingerTime and lingerBytes bound what Close discards for a connection that lingers.
	lingerTime  = time.Second
	lingerBytes = 8 << 20
)

var (
	_ net.Conn     = (*Conn)(nil)
	_ syscall.Conn = (*Conn)(nil)
)

// Conn is a connection whose memory and progress an Intake counts.
type Conn struct {
	net.Conn
	intake  *Intake
	entry   *Entry
	aborted atomic.Uint32
	// cutsWrites is set if the connection is closed because its client does not read an answer.
	cutsWrites atomic.Bool
	lingers    atomic.Bool
	close      sync.Once
	// retained counts the requests that outlast the connection, and isClosed is set when it was closed. Both are guarded by intake.mu.
	retained int
	isClosed bool
}

// Read reads from the connection and counts the progress.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n == 0 {
		return n, err
	}
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	if !c.intake.ledger.ReadLines(time.Now(), c.entry, n, bytes.Count(data[:n], []byte{'\n'})) {
		c.intake.refused[NoRoom]++
		c.abort(NoRoom, false)
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

// Write writes to the connection and counts the progress.
func (c *Conn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	if c.entry.state == Answering {
		c.intake.ledger.Progress(time.Now(), c.entry, n)
	}
	return n, err
}

// Linger makes Close first discard what the client is still sending, for a short time. Closing at once would reset the connection,
// and the client could lose the answer.
func (c *Conn) Linger() {
	c.lingers.Store(true)
}

func (c *Conn) linger() {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || c.Cause() != None || tcp.CloseWrite() != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// Close closes the connection and releases what it holds.
func (c *Conn) Close() error {
	err := net.ErrClosed
	c.close.Do(func() {
		if c.lingers.Load() {
			c.linger()
		}
		err = c.Conn.Close()
		c.intake.mu.Lock()
		defer c.intake.mu.Unlock()
		c.isClosed = true
		c.remove()
	})
	return err
}

// remove releases all that the connection holds, unless a request retains it. intake.mu must be held.
func (c *Conn) remove() {
	if !c.isClosed || c.retained > 0 {
		return
	}
	c.intake.ledger.Close(c.entry)
	delete(c.intake.conns, c.entry)
	c.intake.signalReleased()
}

// Retain keeps what the connection holds reserved after Close, for a request that runs on, until Done is called.
func (c *Conn) Retain() {
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	c.retained++
}

// Done ends one Retain.
func (c *Conn) Done() {
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	c.retained--
	c.remove()
}

// SyscallConn returns the raw connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	inner := c.Conn
	if tlsConn, ok := inner.(*tls.Conn); ok {
		inner = tlsConn.NetConn()
	}
	socket, ok := inner.(syscall.Conn)
	if !ok {
		return nil, errors.New("the connection has no descriptor")
	}
	return socket.SyscallConn()
}

// SetReadDeadline sets the deadline of reads, unless the connection is being closed.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	err := c.Conn.SetReadDeadline(deadline)
	if c.Cause() != None {
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

// SetWriteDeadline sets the deadline of writes, unless the client does not read its answer and is being cut off.
func (c *Conn) SetWriteDeadline(deadline time.Time) error {
	err := c.Conn.SetWriteDeadline(deadline)
	if c.cutsWrites.Load() {
		return c.Conn.SetWriteDeadline(time.Unix(1, 0))
	}
	return err
}

// SetKeepAlive enables TCP keep-alive messages.
func (c *Conn) SetKeepAlive(enabled bool) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetKeepAlive(enabled)
	}
	return nil
}

// SetKeepAlivePeriod sets the time between TCP keep-alive messages.
func (c *Conn) SetKeepAlivePeriod(period time.Duration) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetKeepAlivePeriod(period)
	}
	return nil
}

// Cause returns why the connection is being closed, or None.
func (c *Conn) Cause() Cause {
	return Cause(c.aborted.Load())
}

func (c *Conn) abort(cause Cause, cutsWrites bool) {
	c.aborted.Store(uint32(cause))
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	if cutsWrites {
		c.cutsWrites.Store(true)
		_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	}
}

// Enter changes the state of the connection.
func (c *Conn) Enter(state State) {
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	c.intake.ledger.Enter(time.Now(), c.entry, state)
}

// Reserve reserves memory and reports whether there is room for it. Release or Close returns it.
func (c *Conn) Reserve(kind Kind, bytes int64) bool {
	return c.intake.reserve(c.entry, kind, bytes)
}

// Hold counts memory that the connection holds already, whether or not there is room.
func (c *Conn) Hold(kind Kind, bytes int64) {
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	c.intake.ledger.Hold(c.entry, kind, bytes)
}

// Release returns memory that was reserved.
func (c *Conn) Release(kind Kind, bytes int64) {
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	c.intake.ledger.Release(c.entry, kind, bytes)
	c.intake.signalReleased()
}

// Finish releases all that the connection holds and makes it idle.
func (c *Conn) Finish() {
	c.intake.mu.Lock()
	defer c.intake.mu.Unlock()
	for kind := range kinds {
		c.intake.ledger.Release(c.entry, kind, c.entry.held[kind])
	}
	c.intake.ledger.Enter(time.Now(), c.entry, Idle)
	c.intake.signalReleased()
}

// Listener accepts connections for an Intake and bounds their number.
type Listener struct {
	net.Listener
	intake *Intake
	group  *Group
}

// NewListener returns a listener that accepts at most limit connections at a time; zero means no bound.
func (i *Intake) NewListener(inner net.Listener, limit int) *Listener {
	return &Listener{Listener: inner, intake: i, group: &Group{Limit: limit}}
}

// Accept returns the next connection for which there is room. It closes those for which there is none; nothing of them has been read.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn, ok := l.intake.open(inner, l.group); ok {
			return conn, nil
		}
		_ = inner.Close()
	}
}
