package berylstream

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// writeTimeout bounds the time between two writes of a streamed answer.
	writeTimeout = time.Minute
	// pipeCapacityBytes is how many bytes of a stream may wait for a slow caller. Put blocks until there is room for more, which
	// slows down the upstream.
	pipeCapacityBytes = 64 << 10
	// deadlineRenewInterval is how often a running stream extends its connection's write deadline.
	deadlineRenewInterval = time.Second
)

var (
	// ErrCallerGone ends a call whose caller has closed its connection.
	ErrCallerGone = errors.New("the caller has closed its connection")
	// ErrTruncated makes the server close the connection of an answer that is not complete.
	ErrTruncated = errors.New("the answer is not complete")
)

// Pipe carries a stream from the goroutine that makes the call to the one that writes the answer. Events that are
// waiting are read together.
type Pipe struct {
	mu         sync.Mutex
	changed    sync.Cond
	buffer     []byte
	readOffset int
	ended      bool
	err        error
	closed     bool

	conn          net.Conn
	deadlineSetAt time.Time
	onClose       func()
}

// NewPipe returns a pipe for an answer on conn. onClose is called when the reader closes the pipe.
func NewPipe(conn net.Conn, onClose func()) *Pipe {
	p := &Pipe{conn: conn, onClose: onClose}
	p.changed.L = &p.mu
	return p
}

// Put appends bytes. It blocks until there is room for all of them, and fails once the reader has closed the pipe.
func (p *Pipe) Put(data []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		for p.unread() >= pipeCapacityBytes && !p.closed && !p.ended {
			p.changed.Wait()
		}
		if p.closed || p.ended {
			return ErrCallerGone
		}
		n := min(len(data), pipeCapacityBytes-p.unread())
		p.append(data[:n])
		if data = data[n:]; len(data) == 0 {
			return nil
		}
	}
}

// unread returns the number of bytes that have not been read. mu must be held.
func (p *Pipe) unread() int {
	return len(p.buffer) - p.readOffset
}

// append adds bytes to those that have not been read. Before the buffer grows, it drops those that have. mu must be held.
func (p *Pipe) append(data []byte) {
	if p.unread() == 0 || len(p.buffer)+len(data) > cap(p.buffer) {
		p.buffer = p.buffer[:copy(p.buffer, p.buffer[p.readOffset:])]
		p.readOffset = 0
	}
	p.buffer = append(p.buffer, data...)
	p.changed.Broadcast()
}

// End makes the reader finish with the bytes in last and then with err, or with io.EOF if err is nil.
func (p *Pipe) End(last []byte, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.append(last)
	p.ended = true
	p.err = err
}

// IsClosed reports whether the reader has closed the pipe.
func (p *Pipe) IsClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

// Read waits for bytes and returns as many as fit.
func (p *Pipe) Read(data []byte) (int, error) {
	p.extendWriteDeadline()
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.unread() == 0 {
		if p.ended {
			return 0, p.endError()
		}
		p.changed.Wait()
	}
	n := copy(data, p.buffer[p.readOffset:])
	p.readOffset += n
	p.changed.Broadcast()
	return n, nil
}

func (p *Pipe) endError() error {
	if p.err != nil {
		return p.err
	}
	return io.EOF
}

// extendWriteDeadline allows writeTimeout for the next write. It is called after each successful write.
func (p *Pipe) extendWriteDeadline() {
	now := time.Now()
	if now.Sub(p.deadlineSetAt) < deadlineRenewInterval {
		return
	}
	p.deadlineSetAt = now
	// If this fails, so does the write itself.
	_ = p.conn.SetWriteDeadline(now.Add(writeTimeout))
}

// Close is called by the server when the answer has been written or cannot be written.
func (p *Pipe) Close() error {
	p.mu.Lock()
	p.closed = true
	p.changed.Broadcast()
	p.mu.Unlock()
	p.onClose()
	return nil
}
