package berylstream

import (
	"bytes"
	"io"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func newTestPipe(t *testing.T) *Pipe {
	conn, peer := net.Pipe()
	t.Cleanup(func() { _ = conn.Close(); _ = peer.Close() })
	return NewPipe(conn, func() {})
}

// Guards against a pipe whose buffer grows with the stream because its reader is never quite done, or with a large part.
func TestPipeIsBounded(t *testing.T) {
	for _, tt := range []struct {
		name        string
		part, total int
	}{
		{"small events", 200, 8 << 20},
		{"parts of a long answer", 16 << 10, 32 << 20},
		{"events larger than the pipe", 250 << 10, 32 << 20},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := newTestPipe(t)
			part := bytes.Repeat([]byte("x"), tt.part)
			go func() {
				for range tt.total / tt.part {
					if p.Put(part) != nil {
						return
					}
				}
				p.End([]byte("end"), nil)
			}()
			read, block, largest := 0, make([]byte, 1<<10), 0
			for {
				p.mu.Lock()
				for len(p.buffer)-p.readOffset < len(block) && !p.ended {
					p.changed.Wait() // so that bytes remain after each read
				}
				largest = max(largest, cap(p.buffer))
				p.mu.Unlock()
				n, err := p.Read(block[:len(block)-1])
				read += n
				if err != nil {
					is.Equal(err, io.EOF)
					break
				}
			}
			is.Equal(read, tt.total/tt.part*tt.part+len("end"))
			is.True(largest <= 2*pipeCapacityBytes)
		})
	}
}

func TestPutFailsOnceThePipeIsClosed(t *testing.T) {
	is := is.New(t)
	p := newTestPipe(t)
	failed := make(chan error)
	go func() { failed <- p.Put(make([]byte, 2*pipeCapacityBytes)) }() // it waits for a reader
	_, err := p.Read(make([]byte, 1))
	is.NoErr(err)
	is.NoErr(p.Close())
	is.True(errors.Is(<-failed, ErrCallerGone))
	is.True(errors.Is(p.Put(nil), ErrCallerGone))
}
