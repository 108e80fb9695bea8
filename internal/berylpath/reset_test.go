package berylpath

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylresponse"
)

// uploadBytes is more than the socket buffers of a connection hold.
const uploadBytes = 32 << 20

// lateReadConn is a TCP connection on which a failed write comes first: the reads after the first wait for it, and it returns after the
// next read.
type lateReadConn struct {
	*net.TCPConn
	written, reads int
	// wrote is closed when a write has failed or the upload is written, and read when a read has returned after that.
	wrote, read         chan struct{}
	wroteOnce, readOnce sync.Once
}

func (c *lateReadConn) Read(p []byte) (int, error) {
	if c.reads++; c.reads == 1 {
		return c.TCPConn.Read(p)
	}
	<-c.wrote
	defer c.readOnce.Do(func() { close(c.read) })
	return c.TCPConn.Read(p)
}

func (c *lateReadConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if c.written += n; err != nil || c.written >= uploadBytes {
		c.wroteOnce.Do(func() { close(c.wrote) })
	}
	if err != nil {
		<-c.read
	}
	return n, err
}

// Guards against an answer without a length that is cut by a reset while its request is still being written: the write reports the reset,
// after which the connection reads as if the upstream had ended it.
func TestAnswersDuringACarriedUpload(t *testing.T) {
	for _, tt := range []struct {
		name string
		// end ends the upstream's side after a part of the upload and the answer's first bytes.
		end   func(upstream *net.TCPConn)
		whole bool
	}{
		{"reset", func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }, false},
		{"whole, then the rest of the upload is read", func(c *net.TCPConn) {
			_, _ = io.WriteString(c, " and the rest")
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			server, u := startUpstream(t)
			hosts := &hostList{paths: map[string]*Paths{}}
			hosts.paths["a-1"] = newPaths(upstreamList{"u": u}, hosts, false, func(ctx context.Context, address string) (net.Conn, error) {
				conn, err := dialTCP(ctx, address)
				if err != nil {
					return nil, err
				}
				return &lateReadConn{TCPConn: conn.(*net.TCPConn), wrote: make(chan struct{}), read: make(chan struct{})}, nil
			})
			conn, _, err := newPaths(upstreamList{"u": u}, hosts, true, refuse).Connect(t.Context(), u)
			is.NoErr(err)
			go func() {
				upstream := <-server.conns
				_, _ = io.CopyN(io.Discard, upstream, 64<<10)
				_, _ = io.WriteString(upstream, "HTTP/1.1 200 OK\r\n\r\na part")
				tt.end(upstream)
			}()
			go func() { _, _ = io.Copy(conn, io.LimitReader(zeroReader{}, uploadBytes)) }()
			response, err := berylresponse.Read(bufio.NewReader(conn), http.MethodPost, 4<<10)
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.True(strings.HasPrefix(string(body), "a part"))
			is.Equal(err == nil, tt.whole)
			is.NoErr(conn.Close())
		})
	}
}

// zeroReader is an endless source of zero bytes.
type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
