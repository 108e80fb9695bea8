package berylgate_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylcall"
	"berylroad.example/berylroad/internal/berylgate"
	"berylroad.example/berylroad/internal/beryloutcome"
)

// sendInParts opens a connection, sends the head of a request, waits, and sends its body.
func sendInParts(base, timeout string, wait time.Duration) (*http.Response, error) {
	conn, err := net.Dial("tcp", base[len("http://"):])
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	body := `{"model":"ribdesk-llm","messages":[{"role":"user","content":"x"}]}`
	fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nBerylroad-Timeout: %s\r\nContent-Length: %d\r\n\r\n", testKey, timeout, len(body))
	time.Sleep(wait)
	if _, err := io.WriteString(conn, body); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, err
	}
	_, err = io.ReadAll(response.Body)
	return response, err
}

// Guards against requests that become whole late in a planned stop, are sent to an upstream and cut at its end.
func TestLateRequestsAtAPlannedStop(t *testing.T) {
	for _, tt := range []struct {
		name, timeout string
		wait          time.Duration // from the head to the body; the notice ends after 0.2 s, the stop after 0.8 s
		want          int
		runs          int64
		cut           bool // whether the stop ends by its time
	}{
		{"within the notice, still running at the end", "30", 50 * time.Millisecond, http.StatusGatewayTimeout, 1, true},
		{"late, could run beyond the end", "30", 400 * time.Millisecond, http.StatusServiceUnavailable, 0, false},
		{"late, ends before the stop", "0.2", 400 * time.Millisecond, http.StatusGatewayTimeout, 1, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int64
			calls := &fakeCalls{do: func(ctx context.Context, _ berylcall.Request, _ berylcall.Sink) beryloutcome.Result {
				runs.Add(1)
				<-ctx.Done()
				return beryloutcome.Result{Kind: beryloutcome.Unknown}
			}}
			gate, base := startGate(t, berylgate.Config{Calls: calls, BalancerNotice: 200 * time.Millisecond})
			ctx, cancel := context.WithTimeout(t.Context(), 800*time.Millisecond)
			defer cancel()
			stopped := make(chan error, 1)
			time.AfterFunc(20*time.Millisecond, func() { stopped <- gate.Shutdown(ctx) })
			response, err := sendInParts(base, tt.timeout, tt.wait)
			is.NoErr(err)
			is.Equal(response.StatusCode, tt.want)
			is.Equal(runs.Load(), tt.runs)
			err = <-stopped
			is.Equal(err != nil, tt.cut)
		})
	}
}
