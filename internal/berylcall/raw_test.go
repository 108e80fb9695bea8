package berylcall_test

import (
	"bufio"
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

// rawUpstream answers the first bytes of each connection with raw, then closes the connection or leaves it open.
func rawUpstream(t *testing.T, raw string, open bool) string {
	t.Helper()
	return serveConns(t, func(c net.Conn) {
		c.Read(make([]byte, 4096))
		c.Write([]byte(raw))
		if open {
			t.Cleanup(func() { c.Close() })
			return
		}
		c.Close()
	})
}

// serveConns starts an upstream that handles each of its connections with serve, and returns its URL.
func serveConns(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return "http://" + listener.Addr().String()
}

func TestRawAnswers(t *testing.T) {
	for _, tt := range []struct {
		name string
		raw  string
		open bool
		want beryloutcome.Kind
		body string
	}{
		{name: "length", raw: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", open: true, want: beryloutcome.Answered, body: "{}"},
		{name: "chunks", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n1\r\n}\r\n0\r\n\r\n", open: true, want: beryloutcome.Answered, body: "{}"},
		{name: "interim answer", raw: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", want: beryloutcome.Answered, body: "{}"},
		{name: "last chunk missing", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n", want: beryloutcome.Failed},
		{name: "neither length nor chunks", raw: "HTTP/1.1 200 OK\r\n\r\n{}", want: beryloutcome.Failed},
		{name: "length over the limit", raw: "HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n", open: true, want: beryloutcome.Failed},
		{name: "bad chunk size", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n{}", want: beryloutcome.Failed},
		{name: "status 000", raw: "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}", open: true, want: beryloutcome.Failed},
		{name: "status 099", raw: "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\n{}", open: true, want: beryloutcome.Failed},
		{name: "status 101", raw: "HTTP/1.1 101 OK\r\nContent-Length: 2\r\n\r\n{}", open: true, want: beryloutcome.Failed},
		{name: "status 600", raw: "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\n{}", open: true, want: beryloutcome.Failed},
		{name: "status 000 before an answer", raw: "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", open: true, want: beryloutcome.Failed},
		{name: "two lengths", raw: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{} ", want: beryloutcome.Failed},
		{name: "blank within a field name", raw: "HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: 2\r\n\r\n{}", want: beryloutcome.Failed},
		{name: "blank before a colon", raw: "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}", want: beryloutcome.Failed},
		{name: "encoding with a blank before its colon", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nContent-Length: 2\r\n\r\n{}", want: beryloutcome.Failed},
		{name: "blank before a field name", raw: "HTTP/1.1 200 OK\r\nX-A: y\r\n Bad: x\r\nContent-Length: 2\r\n\r\n{}", want: beryloutcome.Failed},
		{name: "control byte in a field name", raw: "HTTP/1.1 200 OK\r\nB\x01d: x\r\nContent-Length: 2\r\n\r\n{}", want: beryloutcome.Failed},
		{name: "control byte in a value", raw: "HTTP/1.1 200 OK\r\nBad: x\x01y\r\nContent-Length: 2\r\n\r\n{}", want: beryloutcome.Failed},
		{name: "blank within a field name of an interim answer", raw: "HTTP/1.1 100 Continue\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", want: beryloutcome.Failed},
		{name: "blank within a field name of a trailer", raw: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nBad Name: x\r\n\r\n", want: beryloutcome.Failed},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			runner := newTestRunner(t)
			runner.rules = berylconf.Rules{MaxAnswerBytes: 1000, MaxAttempts: 1}
			runner.add("a", rawUpstream(t, tt.raw, tt.open), false)
			req := chatRequest("raw", false, 1)
			req.Deadline = time.Now().Add(2 * time.Second)
			s := &sink{}
			result := runner.Do(context.Background(), req, s)
			is.Equal(result.Kind, tt.want)
			is.Equal(s.body.String(), tt.body)
		})
	}
}

// Guards against owners that do not hear of the limit that an upstream names, also in a refusal.
func TestAnswersNameLimits(t *testing.T) {
	for raw, want := range map[string]berylpermit.Limit{
		"200 OK\r\nBerylroad-Request-Limit: 2.5\r\n":                {Known: true, Limited: true, PerSecond: 2.5},
		"429 Too Many Requests\r\nBerylroad-Request-Limit: 2.5\r\n": {Known: true, Limited: true, PerSecond: 2.5},
		"200 OK\r\n": {Known: true},
	} {
		is := is.New(t)
		runner := newTestRunner(t)
		runner.rules = berylconf.Rules{MaxAttempts: 1}
		runner.add("a", rawUpstream(t, "HTTP/1.1 "+raw+"Content-Length: 2\r\n\r\n{}", true), false)
		req := chatRequest("limit", false, 1)
		req.Deadline = time.Now().Add(2 * time.Second)
		runner.Do(context.Background(), req, &sink{})
		is.Equal(runner.broker.statements[0].Limit, want)
	}
}

// Guards against owners and hosts that do not hear that an upstream of the own interface leaves, also in a refusal.
func TestAnswersSayLeaving(t *testing.T) {
	for raw, want := range map[string]bool{
		"200 OK\r\nBerylroad-Leaving: 1\r\n":                  true,
		"503 Service Unavailable\r\nBerylroad-Leaving: 1\r\n": true,
		"200 OK\r\nBerylroad-Leaving: 0\r\n":                  false,
		"200 OK\r\n":                                          false,
	} {
		is := is.New(t)
		runner := newTestRunner(t)
		runner.rules = berylconf.Rules{MaxAttempts: 1}
		runner.add("a", rawUpstream(t, "HTTP/1.1 "+raw+"Content-Length: 2\r\n\r\n{}", true), false)
		req := chatRequest("leaving", false, 1)
		req.Deadline = time.Now().Add(2 * time.Second)
		runner.Do(context.Background(), req, &sink{})
		is.Equal(runner.broker.statements[0].Leaving, want)
	}
}

func TestTLS(t *testing.T) {
	is := is.New(t)
	upstream := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Write([]byte("{}"))
	}))
	upstream.Config.ErrorLog = log.New(io.Discard, "", 0) // refused handshakes are expected
	upstream.StartTLS()
	defer upstream.Close()
	runner := newTestRunner(t)
	runner.add("a", upstream.URL, false)
	is.Equal(runner.Do(context.Background(), chatRequest("foreign", false, 1), &sink{}).Kind, beryloutcome.NotRun) // certificate not trusted
	runner.TLS = upstream.Client().Transport.(*http.Transport).TLSClientConfig
	for range 3 {
		s := &sink{}
		is.Equal(runner.Do(context.Background(), chatRequest("known", false, 1), s).Kind, beryloutcome.Answered)
		is.Equal(s.body.String(), "{}")
	}
}

// cancellingBroker cancels the caller's context when the second permit is requested.
type cancellingBroker struct {
	berylpermit.Broker
	cancel   context.CancelFunc
	requests int
}

func (c *cancellingBroker) Acquire(ctx context.Context, request berylpermit.Request) (*berylpermit.Permit, *beryloutcome.Refusal) {
	c.requests++
	if c.requests == 1 {
		return c.Broker.Acquire(ctx, request)
	}
	c.cancel()
	return nil, &beryloutcome.Refusal{Status: 503, Code: beryloutcome.CodeNotRun, Message: "the caller has gone"}
}

func TestCancelledBetweenCalls(t *testing.T) {
	is := is.New(t)
	runner := newTestRunner(t)
	e := runner.engine(t, "a", berylfake.EngineOptions{})
	is.NoErr(e.SetFault(berylfake.UpstreamFault{Mode: berylfake.FaultStatus, Status: 500}))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	runner.Permits = &cancellingBroker{Broker: &runner.broker, cancel: cancel}
	result := runner.Do(ctx, chatRequest("gone", true, 1), &sink{})
	is.Equal(result.Kind, beryloutcome.Cancelled)
	is.Equal(result.Attempts, 1)
}

// Guards against a broken answer on a kept connection that makes the upstream run the request once more within the same attempt.
func TestBrokenAnswerOnAKeptConnection(t *testing.T) {
	is := is.New(t)
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	var requests atomic.Int64
	url := serveConns(t, func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			answer := whole
			if requests.Add(1) == 2 {
				answer = "HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: 2\r\n\r\n{}"
			}
			_, _ = io.WriteString(conn, answer)
		}
	})
	runner := newTestRunner(t)
	runner.rules = berylconf.Rules{MaxAttempts: 1}
	runner.add("a", url, false)
	is.Equal(runner.Do(context.Background(), chatRequest("first", false, 1), &sink{}).Kind, beryloutcome.Answered)
	is.Equal(runner.Do(context.Background(), chatRequest("second", false, 1), &sink{}).Kind, beryloutcome.Failed)
	is.Equal(requests.Load(), int64(2))
}
