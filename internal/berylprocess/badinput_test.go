package berylprocess

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/pkg/berylapi"
)

// maxBodyBytes is the limit of a request body in TestBadInput, in bytes.
const maxBodyBytes = 64 << 10

// TestBadInput sends invalid requests and checks that the error names the invalid field and that no upstream is called.
func TestBadInput(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetConfig{
		hosts: 2, engines: 2, services: 1, slots: 2, engineFlags: fastEngineFlags,
		rules: berylconf.Rules{MaxBodyBytes: maxBodyBytes},
	})
	chat := func(body string) request { return request{path: "/v1/chat/completions", body: []byte(body)} }
	with := func(name, value string) request {
		return request{path: "/v1/chat/completions", body: chatBody("x", 3, false), header: http.Header{name: {value}}}
	}
	big := strings.Repeat("x", maxBodyBytes)
	for _, test := range []struct {
		name    string
		request request
		status  int
		code    string
		param   string
	}{
		{"empty body", chat(""), 400, "bad-request", "body"},
		{"half a body", chat(`{"model":"test-llm","mess`), 400, "bad-request", "body"},
		{"no object", chat(`[]`), 400, "bad-request", "body"},
		{"no model", chat(`{"messages":[{"role":"user","content":"x"}]}`), 400, "bad-request", "model"},
		{"unknown model", chat(`{"model":"other","messages":[{"role":"user","content":"x"}]}`), 404, "not-found", "model"},
		{"no messages", chat(`{"model":"test-llm"}`), 400, "bad-request", "messages"},
		{"stream is a string", chat(`{"model":"test-llm","stream":"yes","messages":[{}]}`), 400, "bad-request", "stream"},
		{"negative tokens", chat(`{"model":"test-llm","max_tokens":-1,"messages":[{}]}`), 400, "bad-request", "max_tokens"},
		{"body over the limit", chat(string(chatBody(big, 3, false))), 413, "too-large", "body"},
		{"headers over the limit", with("X-Long", big[:9<<10]), 431, "too-large", "headers"},
		{"deadline is no number", with("Berylroad-Timeout", "soon"), 400, "bad-request", "Berylroad-Timeout"},
		{"deadline is negative", with("Berylroad-Timeout", "-1"), 400, "bad-request", "Berylroad-Timeout"},
		{"deadline is no time", with("Berylroad-Timeout", "NaN"), 400, "bad-request", "Berylroad-Timeout"},
		{"deadline too far", with("Berylroad-Timeout", "1e9"), 400, "bad-request", "Berylroad-Timeout"},
		{"repeat is unknown", with("Berylroad-Repeat", "always"), 400, "bad-request", "Berylroad-Repeat"},
		{"never without a key", with("Berylroad-Repeat", "never"), 400, "bad-request", "Idempotency-Key"},
		{"class is unknown", with("Berylroad-Class", "first"), 400, "bad-request", "Berylroad-Class"},
		{"unknown service", request{path: "/services/none/x"}, 404, "not-found", "path"},
		{"unknown path", request{path: "/v2/chat"}, 404, "not-found", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := f.send(t.Context(), f.hosts[0], test.request)
			is.NoErr(r.err)
			checkError(is, r, test.status, test.code, test.param)
		})
	}
	t.Run("unknown key", func(t *testing.T) {
		is := is.New(t)
		key := f.key
		f.key += "x"
		defer func() { f.key = key }()
		checkError(is, f.chat(f.hosts[0], "x", 3, true), 401, "unauthorized", "Authorization")
	})
	t.Run("slow caller", func(t *testing.T) { f.checkSlowCaller(is.New(t)) })
	is := is.New(t)
	for _, u := range f.upstreams() {
		is.Equal(f.counts(u).Started, 0) // no invalid request reached an upstream
	}
	f.checkAllSlotsUsable(f.hosts...)
}

// checkError checks that a reply is an error in the OpenAI format with the given status, code and parameter.
func checkError(is *is.I, r reply, status int, code, param string) {
	is.Helper()
	is.Equal(r.status, status)
	is.True(strings.HasPrefix(r.header.Get("Content-Type"), "application/json"))
	var envelope berylapi.ErrorBody
	is.NoErr(json.Unmarshal(r.body, &envelope))
	is.Equal(envelope.Error.Code, code)
	is.True(envelope.Error.Message != "" && envelope.Error.Type != "")
	got := ""
	if envelope.Error.Param != nil {
		got = *envelope.Error.Param
	}
	is.Equal(got, param)
}

// checkSlowCaller sends only half of the body that it declares. The host must answer 408 after a timeout and close the
// connection instead of waiting for the rest.
func (f *fleet) checkSlowCaller(is *is.I) {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.hosts[0].addresses.CallerAddress)
	is.NoErr(err)
	defer conn.Close()
	body := chatBody("never sent completely", 3, false)
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		f.key, len(body), body[:len(body)/2])
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(2 * callTimeout)))
	answer, err := io.ReadAll(conn) // succeeds only if the host closes the connection before the read deadline
	is.NoErr(err)
	is.True(bytes.Contains(answer, []byte(" 408 ")) && bytes.Contains(answer, []byte(`"code":"not-run"`)))
}

// maxStopTime is the maximum time that a host may take to stop after its calls have ended.
const maxStopTime = 40 * time.Second

// TestRefusedBeforeCall checks requests that a host refuses without calling an upstream, because the deadline is too short,
// the platform is down or the host is stopping. A refusal must be correct and carry Retry-After.
func TestRefusedBeforeCall(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetConfig{hosts: 2, engines: 2, services: 2, slots: 4, resume: true, engineFlags: fastEngineFlags})
	t.Run("deadline too short", func(t *testing.T) {
		is := is.New(t)
		for _, c := range f.sendEachKind("too short", time.Millisecond) {
			f.checkResult(is, c)
			is.True(c.outcome() == "not-run" || c.outcome() == "outcome-unknown")
		}
	})
	t.Run("platform down", func(t *testing.T) {
		is := is.New(t)
		f.setFault(f.platform, berylfake.PlatformFault{Mode: berylfake.ModeDown})
		for _, c := range f.sendEachKind("platform down", faultDeadline) {
			f.checkResult(is, c)
			want := ""
			if c.keyed {
				want = "not-run"
			}
			is.Equal(c.outcome(), want) // only keyed requests need the platform
		}
		f.clearFaults("platform down")
	})
	t.Run("host is stopping", func(t *testing.T) {
		is := is.New(t)
		h := f.hosts[0]
		h.signal(t, syscall.SIGTERM)
		for n := 0; !h.hasExited(); n++ {
			body := chatBody(fmt.Sprint("stopping ", n), 3, n%2 == 0)
			r := f.send(t.Context(), h, request{path: "/v1/chat/completions", body: body})
			if r.err != nil {
				is.Equal(f.totalRuns(body), 0) // a request on a refused connection does not run
				continue
			}
			is.True(r.isComplete(body, n%2 == 0) || r.code() == "not-run")
		}
		is.NoErr(h.err)
	})
}

// TestStopWhilePlatformIsDown stops a host that must still record the outcome of a call while the platform is down. The host
// must exit within maxStopTime instead of waiting for the platform.
func TestStopWhilePlatformIsDown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, fleetConfig{hosts: 2, engines: 2, services: 2, slots: 4, resume: true, engineFlags: fastEngineFlags})
	h := f.hosts[0]
	long := make(chan reply, 1)
	request := callKind{keyed: true, neverRepeat: true, stream: true}.request("ends while the platform is down", time.Minute)
	request.body = chatBody("ends while the platform is down", 200, true)
	go func() { long <- f.send(t.Context(), h, request) }()
	f.eventually("the call runs", func() bool { return f.totalRuns(request.body) == 1 })
	f.setFault(f.platform, berylfake.PlatformFault{Mode: berylfake.ModeDown})
	h.signal(t, syscall.SIGTERM)
	is.True((<-long).isComplete(request.body, true))
	select {
	case <-h.exited:
		is.NoErr(h.err)
	case <-time.After(maxStopTime):
		t.Fatal("the host has not exited, although its call has ended")
	}
}

// TestNoUpstreamLeft checks that calls are refused at once while every upstream is marked as leaving, and that they are
// answered again after that.
func TestNoUpstreamLeft(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleetConfig{hosts: 2, engines: 2, services: 2, slots: 4, resume: true, engineFlags: fastEngineFlags})
	for _, u := range f.upstreams() {
		f.document.Rules.Leaving = append(f.document.Rules.Leaving, u.name)
	}
	f.applyDocument()
	n := 0
	f.eventually("both hosts refuse all calls", func() bool {
		n++
		for _, c := range f.sendEachKind(fmt.Sprint("leaving ", n), faultDeadline) {
			if c.outcome() != "not-run" {
				return false
			}
		}
		return true
	})
	replies := f.sendEachKind("left", faultDeadline)
	f.document.Rules.Leaving = nil
	f.applyDocument()
	f.clearFaults("leaving")
	for _, c := range replies {
		f.checkResult(is, c)
		is.Equal(c.outcome(), "not-run")
		is.True(c.took < faultDeadline/2) // the refusal does not wait for the deadline
	}
}

// hasExited reports whether the process has exited.
func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}
