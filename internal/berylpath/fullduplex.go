package berylpath

import (
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/berylsocket"
)

// fullDuplexConn is a connection that is read and written at once. Its Read returns io.EOF only if the peer has ended its side. The kernel
// reports a reset only once; if a write gets it, the bytes to read seem to end regularly.
type fullDuplexConn struct {
	net.Conn

	mu sync.Mutex // held while a write is under way
	// writeErr is the error of the first write that has failed.
	writeErr error
}

// Write implements io.Writer.
func (c *fullDuplexConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements io.Reader.
func (c *fullDuplexConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF { //nolint:errorlint // A wrapped io.EOF is not the regular end of the connection.
		err = c.checkEnd()
	}
	return n, err
}

// checkEnd returns io.EOF if the peer has ended its side, or else the error that has ended the connection.
func (c *fullDuplexConn) checkEnd() error {
	state, err := berylsocket.StateOf(c.Conn)
	if err == nil && state == berylsocket.EndedByPeer {
		return io.EOF
	}
	if err == nil && state == berylsocket.Closed {
		c.mu.Lock() // no write blocks on a closed connection
	} else if !c.mu.TryLock() {
		return errors.New("the connection ended while it was written, in a way that is not known")
	}
	defer c.mu.Unlock()
	// EPIPE says that the peer had ended its side before the reset.
	if c.writeErr != nil && !errors.Is(c.writeErr, syscall.EPIPE) {
		return errors.Wrap(c.writeErr, "the connection broke while it was written")
	}
	return io.EOF
}
