package berylintake

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
)

const (
	fuzzLimit  = 1000
	fuzzBudget = 4000
)

// FuzzReading guards against heads and chunks that make the process hold more than it has reserved, read a body over the limit, or
// leave memory reserved when the connection has ended.
func FuzzReading(f *testing.F) {
	const post = "POST / HTTP/1.1\r\nHost: h\r\n"
	for _, seed := range []string{
		post + "Content-Length: 4\r\n\r\nbody" + post + "Content-Length: 0\r\n\r\n",
		post + "Content-Length: 1099511627776\r\n\r\nbody",
		post + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody",
		post + "Transfer-Encoding: chunked\r\n\r\n4;name=value\r\nbody\r\n0\r\nT: 1\r\n\r\n",
		post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\na\r\n", 1001) + "0\r\n\r\n",
		post + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nbody",
		post + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\nbody",
		post + strings.Repeat("a:\r\n", 300) + "\r\n",
		post + " \t:\x01\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.Fuzz(func(t *testing.T, data []byte) {
		rules := Rules{Bytes: fuzzBudget, ArrivingBytes: fuzzBudget, HeadTime: time.Minute, ProgressTime: time.Minute, GraceTime: time.Minute}
		intake := New(rules, log, metrics.NewSet())
		server := &fasthttp.Server{
			Logger: log, ReadBufferSize: 2048, MaxRequestBodySize: fuzzLimit, StreamRequestBody: true, DisablePreParseMultipartForm: true,
			ConnState: func(conn net.Conn, state fasthttp.ConnState) {
				if state == fasthttp.StateIdle {
					conn.(*Conn).Finish()
				}
			},
			Handler: func(ctx *fasthttp.RequestCtx) {
				conn := ctx.Conn().(*Conn)
				stream := ctx.RequestBodyStream()
				if stream == nil {
					return
				}
				body, cause := conn.ReadBody(stream, ctx.Request.Header.ContentLength(), fuzzLimit)
				if cause != None {
					ctx.SetConnectionClose()
					return
				}
				if length := ctx.Request.Header.ContentLength(); len(body) > fuzzLimit || length >= 0 && len(body) != length {
					t.Errorf("a body of %d bytes was read; the announced length is %d, the limit %d", len(body), length, fuzzLimit)
				}
				if held := conn.entry.held[Bodies]; held < int64(cap(body)) || held > fuzzBudget {
					t.Errorf("%d bytes are reserved for a body that takes %d", held, cap(body))
				}
			},
		}
		inner, client := net.Pipe()
		conn, _ := intake.open(inner, &Group{})
		go func() {
			_, _ = client.Write(data)
			_ = client.Close()
		}()
		go func() { _, _ = io.Copy(io.Discard, client) }()
		_ = server.ServeConn(conn)
		_ = conn.Close()
		if held := intake.ledger.Held(); held != [kinds]int64{} || intake.ledger.total != 0 || intake.ledger.arriving != 0 {
			t.Errorf("still reserved after the connection has ended: %v", held)
		}
	})
}
