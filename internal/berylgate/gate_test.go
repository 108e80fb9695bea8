package berylgate_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gofiber/fiber/v3"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc/pool"

	"berylroad.example/berylroad/internal/berylcall"
	"berylroad.example/berylroad/internal/berylgate"
	"berylroad.example/berylroad/internal/beryloutcome"
)

const eventStream = "text/event-stream"

// post sends one completion and returns the response, whose body the caller closes.
func post(ctx context.Context, base, fields string, headers ...string) (*http.Response, error) {
	body := `{"model":"ribdesk-llm","prompt":"hi"` + fields + `}`
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	r.Header.Set("Content-Type", "application/json")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return http.DefaultClient.Do(r)
}

// postWhole sends one completion and returns its status, body and the error of reading the body.
func postWhole(base, fields string, headers ...string) (int, string, error) {
	response, err := post(context.Background(), base, fields, headers...)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

func TestCallersGetTheirOwnAnswers(t *testing.T) {
	calls := &fakeCalls{do: func(_ context.Context, r berylcall.Request, sink berylcall.Sink) beryloutcome.Result {
		runtime.Gosched()
		if r.Stream {
			return answer(sink, http.StatusOK, eventStream, "data: "+string(r.Body)+"\n\n", chunkDone)
		}
		return answer(sink, http.StatusOK, "application/json", string(r.Body))
	}}
	_, base := startGate(t, berylgate.Config{Calls: calls})
	callers := pool.New().WithErrors()
	for i := range 200 {
		callers.Go(func() error {
			for j := range 5 {
				fields := fmt.Sprintf(`,"user":"u-%d-%d","stream":%t`, i, j, i%2 == 0)
				status, body, err := postWhole(base, fields)
				if err != nil || status != http.StatusOK || !strings.Contains(body, fields) {
					return fmt.Errorf("caller %s got %d %q: %v", fields, status, body, err)
				}
			}
			return nil
		})
	}
	is.New(t).NoErr(callers.Wait())
}

func TestCallerDisconnectCancelsTheCall(t *testing.T) {
	for _, tc := range []struct {
		name   string
		fields string
		events int
	}{
		{name: "plain"},
		{name: "stream before its first event", fields: `,"stream":true`},
		{name: "stream that has gone silent", fields: `,"stream":true`, events: 1},
		{name: "stream that goes on", fields: `,"stream":true`, events: 1 << 30},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			running := make(chan struct{}, 1)
			ended := make(chan struct{})
			calls := &fakeCalls{do: func(ctx context.Context, _ berylcall.Request, sink berylcall.Sink) beryloutcome.Result {
				defer close(ended)
				running <- struct{}{}
				for range tc.events {
					if answer(sink, http.StatusOK, eventStream, chunkOne).Kind == beryloutcome.Cancelled {
						break
					}
				}
				<-ctx.Done()
				return beryloutcome.Result{Kind: beryloutcome.Cancelled}
			}}
			_, base := startGate(t, berylgate.Config{Calls: calls})
			ctx, cancel := context.WithCancel(context.Background())
			go func() {
				<-running
				cancel()
			}()
			response, err := post(ctx, base, tc.fields)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
			}
			is.True(err != nil) // the client, which cancelled the request, must not get a complete answer
			awaitClosed(t, ended)
		})
	}
}

func TestTLSCallerDisconnectCancelsTheCall(t *testing.T) {
	is := is.New(t)
	running := make(chan struct{})
	ended := make(chan struct{})
	calls := &fakeCalls{do: func(ctx context.Context, _ berylcall.Request, _ berylcall.Sink) beryloutcome.Result {
		close(running)
		<-ctx.Done()
		close(ended)
		return beryloutcome.Result{Kind: beryloutcome.Cancelled}
	}}
	certificateSource := httptest.NewTLSServer(nil) // provides a test certificate
	defer certificateSource.Close()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", certificateSource.TLS)
	is.NoErr(err)
	serveGate(t, berylgate.Config{Calls: calls}, listener)
	conn, err := tls.Dial("tcp", listener.Addr().String(), &tls.Config{InsecureSkipVerify: true})
	is.NoErr(err)
	_, err = io.WriteString(conn, rawRequest(""))
	is.NoErr(err)
	<-running
	is.NoErr(conn.Close())
	awaitClosed(t, ended)
}

func awaitClosed(t *testing.T, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Fatal("the call did not end in time")
	}
}

func TestPlannedStopCutsNothing(t *testing.T) {
	is := is.New(t)
	finish := make(chan struct{})
	release := sync.OnceFunc(func() { close(finish) })
	defer release()
	calls := &fakeCalls{do: func(_ context.Context, r berylcall.Request, sink berylcall.Sink) beryloutcome.Result {
		if !r.Stream {
			return answer(sink, http.StatusOK, "application/json", "{}")
		}
		answer(sink, http.StatusOK, eventStream, chunkOne)
		<-finish
		return answer(sink, http.StatusOK, eventStream, chunkTwo, chunkDone)
	}}
	gate, base := startGate(t, berylgate.Config{Calls: calls, BalancerNotice: 500 * time.Millisecond})
	response, err := post(context.Background(), base, `,"stream":true`)
	is.NoErr(err)
	defer response.Body.Close()
	ready, err := http.Get(base + "/readyz")
	is.NoErr(err)
	is.Equal(ready.StatusCode, http.StatusOK)

	stopped := make(chan error, 1)
	go func() { stopped <- gate.Shutdown(context.Background()) }()
	for ready.StatusCode == http.StatusOK {
		ready, err = http.Get(base + "/readyz")
		is.NoErr(err)
	}
	late, err := post(context.Background(), base, "")
	is.NoErr(err)
	is.Equal(late.StatusCode, http.StatusOK) // the gate still serves during the notice time
	is.True(late.Close)
	release()

	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(body), chunkOne+chunkTwo+chunkDone)
	is.NoErr(<-stopped)
}

func TestFailedStreamIsNeverComplete(t *testing.T) {
	is := is.New(t)
	calls := &fakeCalls{do: func(_ context.Context, _ berylcall.Request, sink berylcall.Sink) beryloutcome.Result {
		answer(sink, http.StatusOK, eventStream, chunkOne)
		return beryloutcome.Result{Kind: beryloutcome.Failed}
	}}
	_, base := startGate(t, berylgate.Config{Calls: calls})

	status, body, err := postWhole(base, `,"stream":true`)

	is.Equal(status, http.StatusOK)
	is.Equal(err, io.ErrUnexpectedEOF)
	is.True(strings.HasPrefix(body, chunkOne+`data: {"error":{`))
	is.True(!strings.Contains(body, "[DONE]"))
}

func TestKeyedStream(t *testing.T) {
	is := is.New(t)
	deduplicator := &fakeDeduplicator{}
	calls := answering(http.StatusOK, eventStream, chunkOne, chunkTwo, chunkDone)
	_, base := startGate(t, berylgate.Config{Calls: calls, Idempotency: deduplicator})
	for range 2 {
		_, body, err := postWhole(base, `,"stream":true`, "Idempotency-Key", "k1")
		is.NoErr(err)
		is.Equal(body, chunkOne+chunkTwo+chunkDone)
	}
	is.Equal(len(calls.seen()), 1) // the second answer must come from the record, without another call

	deduplicator.finishRefusal = &beryloutcome.Refusal{Status: http.StatusServiceUnavailable, Code: beryloutcome.CodeUnknown}
	_, body, err := postWhole(base, `,"stream":true`, "Idempotency-Key", "k2")
	is.Equal(err, io.ErrUnexpectedEOF)
	is.True(strings.Contains(body, "outcome-unknown"))
	is.True(!strings.Contains(body, "[DONE]")) // a run that was not recorded must not look complete
}

func TestKeyedStreamContinuesAfterDisconnect(t *testing.T) {
	is := is.New(t)
	disconnected := make(chan struct{})
	callEnded := make(chan struct{})
	calls := &fakeCalls{do: func(ctx context.Context, _ berylcall.Request, sink berylcall.Sink) beryloutcome.Result {
		defer close(callEnded)
		answer(sink, http.StatusOK, eventStream, chunkOne)
		<-disconnected
		for range 1000 {
			answer(sink, http.StatusOK, eventStream, chunkTwo)
		}
		select {
		case <-ctx.Done():
			return beryloutcome.Result{Kind: beryloutcome.Cancelled}
		case <-time.After(300 * time.Millisecond):
			return answer(sink, http.StatusOK, eventStream, chunkDone)
		}
	}}
	_, base := startGate(t, berylgate.Config{Calls: calls, Idempotency: &fakeDeduplicator{}})
	ctx, cancel := context.WithCancel(context.Background())
	_, err := post(ctx, base, `,"stream":true`, "Idempotency-Key", "k1")
	is.NoErr(err)
	cancel()
	close(disconnected)
	awaitClosed(t, callEnded)
	var body string
	for status := 0; status != http.StatusOK || body == ""; {
		status, body, err = postWhole(base, `,"stream":true`, "Idempotency-Key", "k1")
		is.NoErr(err)
	}
	is.Equal(body, chunkOne+strings.Repeat(chunkTwo, 1000)+chunkDone)
	is.Equal(len(calls.seen()), 1)
}

func TestFullHostRefusesAtOnce(t *testing.T) {
	for _, tc := range []struct {
		name   string
		config berylgate.Config
	}{
		{name: "requests", config: berylgate.Config{MaxConcurrent: 1}},
		{name: "bodies", config: berylgate.Config{BodyBudget: 60}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			running := make(chan struct{}, 2)
			finish := make(chan struct{})
			tc.config.Calls = &fakeCalls{do: func(_ context.Context, _ berylcall.Request, sink berylcall.Sink) beryloutcome.Result {
				running <- struct{}{}
				<-finish
				return answer(sink, http.StatusOK, "application/json", "{}")
			}}
			_, base := startGate(t, tc.config)
			first := make(chan int, 1)
			go func() {
				status, _, _ := postWhole(base, "")
				first <- status
			}()
			<-running
			status, body, err := postWhole(base, "")
			is.NoErr(err)
			is.Equal(status, http.StatusServiceUnavailable)
			is.True(strings.Contains(body, `"not-run"`))
			close(finish)
			is.Equal(<-first, http.StatusOK)
			status, _, err = postWhole(base, "")
			is.NoErr(err)
			is.Equal(status, http.StatusOK) // the first request's part of the limit is released
		})
	}
}

func TestDeadlineEndsTheCall(t *testing.T) {
	for _, fields := range []string{"", `,"stream":true`} {
		is := is.New(t)
		calls := &fakeCalls{do: func(ctx context.Context, r berylcall.Request, _ berylcall.Sink) beryloutcome.Result {
			select {
			case <-ctx.Done():
				is.True(!r.Deadline.After(time.Now()))
				return beryloutcome.Result{Kind: beryloutcome.Unknown}
			case <-time.After(testTimeout):
				return beryloutcome.Result{Kind: beryloutcome.Answered}
			}
		}}
		_, base := startGate(t, berylgate.Config{Calls: calls})
		status, body, err := postWhole(base, fields, "Berylroad-Timeout", "0.05")
		is.NoErr(err)
		is.Equal(status, http.StatusGatewayTimeout)
		is.True(strings.Contains(body, `"outcome-unknown"`))
	}
}

func TestPanicIsNotShownToTheCaller(t *testing.T) {
	for _, fields := range []string{"", `,"stream":true`} {
		is := is.New(t)
		calls := &fakeCalls{do: func(context.Context, berylcall.Request, berylcall.Sink) beryloutcome.Result {
			panic("secret detail")
		}}
		_, base := startGate(t, berylgate.Config{Calls: calls})
		status, body, err := postWhole(base, fields)
		is.NoErr(err)
		is.Equal(status, http.StatusInternalServerError)
		is.True(strings.Contains(body, `"outcome-unknown"`))
		is.True(!strings.Contains(body, "secret"))
	}
}

func TestMountedRoute(t *testing.T) {
	is := is.New(t)
	set := metrics.NewSet()
	_, base := startGate(t, berylgate.Config{
		Calls:   answering(http.StatusOK, ""),
		Metrics: set,
		Mount: func(r fiber.Router) {
			r.Post("/v1/batches", func(c fiber.Ctx) error {
				return c.SendString(berylgate.CallerOf(c).Name + " " + string(c.Body()))
			})
		},
	})
	for _, tc := range []struct{ encoding, body, want string }{
		{body: "job", want: "counter job"},
		{body: strings.Repeat("x", 64<<10+1), want: "too-large"},
		{body: "job", encoding: "gzip", want: "bad-request"},
	} {
		for _, length := range []int64{int64(len(tc.body)), -1} {
			r, err := http.NewRequest(http.MethodPost, base+"/v1/batches", strings.NewReader(tc.body))
			is.NoErr(err)
			r.ContentLength = length
			r.Header.Set("Authorization", "Bearer "+testKey)
			r.Header.Set("Content-Encoding", tc.encoding)
			response, err := http.DefaultClient.Do(r)
			is.NoErr(err)
			got, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.True(strings.Contains(string(got), tc.want))
		}
	}
	var text bytes.Buffer
	set.WritePrometheus(&text)
	is.True(strings.Contains(text.String(), `berylroad_gate_requests_total{route="/v1/batches",class="online",code="ok"} 2`))
	is.True(strings.Contains(text.String(), "berylroad_gate_in_flight 0"))
}

func TestMountedRouteHasADeadline(t *testing.T) {
	is := is.New(t)
	_, base := startGate(t, berylgate.Config{
		Calls: answering(http.StatusOK, ""),
		Mount: func(r fiber.Router) {
			r.Get("/v1/batches", func(c fiber.Ctx) error {
				end, _ := c.Context().Deadline()
				return c.SendString(time.Until(end).Round(time.Second).String())
			})
		},
	})
	for timeout, want := range map[string]string{"": "1m0s", "5": "5s", "soon": "bad-request"} {
		r, err := http.NewRequest(http.MethodGet, base+"/v1/batches", nil)
		is.NoErr(err)
		r.Header.Set("Authorization", "Bearer "+testKey)
		r.Header.Set("Berylroad-Timeout", timeout)
		response, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		got, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.True(strings.Contains(string(got), want))
	}
}

func TestRequestIDs(t *testing.T) {
	is := is.New(t)
	calls := answering(http.StatusOK, "application/json", "{}")
	_, base := startGate(t, berylgate.Config{Calls: calls, Boot: 71})
	for _, tc := range []struct{ sent, echoed, assigned string }{
		{sent: "ticket-9", echoed: "ticket-9", assigned: "entry-1-1z-1"},
		{sent: "two words", echoed: "entry-1-1z-2", assigned: "entry-1-1z-2"},
	} {
		response, err := post(context.Background(), base, "", "X-Request-Id", tc.sent)
		is.NoErr(err)
		is.Equal(response.Header.Get("X-Request-Id"), tc.echoed)
		is.Equal(response.Header.Get("Berylroad-Request-Id"), tc.assigned)
	}
	is.Equal(calls.seen()[1].ID, "entry-1-1z-2")
}

func TestNoGoroutineIsLeftBehind(t *testing.T) {
	is := is.New(t)
	calls := &fakeCalls{do: func(ctx context.Context, _ berylcall.Request, sink berylcall.Sink) beryloutcome.Result {
		answer(sink, http.StatusOK, eventStream, chunkOne)
		<-ctx.Done()
		return beryloutcome.Result{Kind: beryloutcome.Unknown}
	}}
	gate, base := startGate(t, berylgate.Config{Calls: calls})
	for range 20 {
		_, _, err := postWhole(base, `,"stream":true`, "Berylroad-Timeout", "0.01")
		is.Equal(err, io.ErrUnexpectedEOF) // the deadline must truncate the stream
	}
	is.True(countGateGoroutines() > 0)
	http.DefaultClient.CloseIdleConnections()
	is.NoErr(gate.Shutdown(context.Background()))
	is.Equal(countGateGoroutines(), 0)
}

// countGateGoroutines counts the methods of berylgate in the stacks of all goroutines, including those that started them.
// It is zero once no goroutine of the gate is left.
func countGateGoroutines() int {
	stacks := make([]byte, 1<<20)
	stacks = stacks[:runtime.Stack(stacks, true)]
	return bytes.Count(stacks, []byte("berylgate.(*"))
}
