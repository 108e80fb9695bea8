package berylcall_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/beryloutcome"
)

// Guards against an answer that is cut by a reset while its request is still being written.
func TestAnswersResetDuringAnUpload(t *testing.T) {
	for name, raw := range map[string]string{
		"no length": "HTTP/1.1 200 OK\r\n\r\n",
		"sized":     "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
		"chunked":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			runner := newTestRunner(t)
			runner.rules = berylconf.Rules{MaxAttempts: 1}
			url := serveConns(t, func(conn net.Conn) {
				_, _ = io.CopyN(io.Discard, conn, 64<<10)
				_, _ = io.WriteString(conn, raw+"{}")
				time.Sleep(20 * time.Millisecond) // the peer must receive the data before the reset, which would discard it
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			})
			runner.add("a", url, false)
			request := orderRequest("upload")
			request.Body = make([]byte, 32<<20)
			s := &sink{}
			result := runner.Do(context.Background(), request, s)
			is.Equal(result.Kind, beryloutcome.Unknown)
			is.Equal(s.body.Len(), 0)
		})
	}
}
