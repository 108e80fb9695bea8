package berylgate_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylcall"
	"berylroad.example/berylroad/internal/berylgate"
	"berylroad.example/berylroad/internal/berylonce"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/pkg/berylapi"
)

// TestScripts sends the requests in testdata and compares the status, headers and error, or the call that the gate made.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		calls := &fakeCalls{do: describe}
		config := berylgate.Config{Calls: calls, Idempotency: &fakeDeduplicator{}}
		if filepath.Base(path) == "raw.txt" {
			config.ReadTimeout = time.Second // raw.txt has incomplete requests, which the gate ends after this timeout
		}
		_, base := startGate(t, config)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "request":
				return scriptRequest(t, base, d)
			case "raw":
				return scriptRaw(t, base, d)
			default:
				d.Fatalf(t, "unknown command %q", d.Cmd)
				return ""
			}
		})
	})
}

// describe answers a call with a description of its request.
func describe(_ context.Context, r berylcall.Request, sink berylcall.Sink) beryloutcome.Result {
	text := fmt.Sprintf("ran %s %s %s\nstream=%t repeatable=%t class=%s tokens=%d body=%q\n",
		r.Method, r.Target, r.Path, r.Stream, r.Repeatable, r.Class, r.Tokens, r.Body)
	return answer(sink, http.StatusOK, "text/plain", text)
}

// splitHeaders splits a script's input into the leading lines that look like headers and the body.
func splitHeaders(input string) (headers, body string) {
	end := regexp.MustCompile(`^([A-Z][A-Za-z-]+: .*(\n|$))*`).FindStringIndex(input)[1]
	return input[:end], strings.TrimPrefix(input[end:], "\n")
}

// scriptRequest runs a "request METHOD PATH" command, whose input is header lines and a body.
func scriptRequest(t *testing.T, base string, d *datadriven.TestData) string {
	is := is.New(t)
	head, body := splitHeaders(d.Input)
	if repeat := 0; d.HasArg("repeat") {
		d.ScanArgs(t, "repeat", &repeat)
		body = strings.Repeat(body, repeat)
	}
	r, err := http.NewRequest(d.CmdArgs[0].Key, base+d.CmdArgs[1].Key, strings.NewReader(body))
	is.NoErr(err)
	r.Header.Set("Authorization", "Bearer "+testKey)
	r.Header.Set("Content-Type", "application/json")
	for line := range strings.Lines(head) {
		name, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), ": ")
		r.Header.Set(name, value)
	}
	if d.HasArg("chunked") {
		r.ContentLength = -1
	}
	response, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	return showResponse(t, response)
}

// scriptRaw runs a "raw" command: it sends the input unchanged except for line ends, which become CRLF, and the words KEY
// and LONG, which become the API key and 20 KiB of text.
func scriptRaw(t *testing.T, base string, d *datadriven.TestData) string {
	is := is.New(t)
	conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetDeadline(time.Now().Add(testTimeout)))
	text := strings.ReplaceAll(d.Input, "KEY", testKey)
	if d.HasArg("end") {
		text += "\n\n"
	}
	text = strings.ReplaceAll(text, "LONG", strings.Repeat("x", 20<<10))
	_, err = io.WriteString(conn, strings.ReplaceAll(text, "\n", "\r\n"))
	is.NoErr(err)
	answer, _ := io.ReadAll(conn) // the connection may be reset after the answer, since the gate does not read the rest of the request
	status, rest, _ := strings.Cut(string(answer), "\r\n")
	_, body, _ := strings.Cut(rest, "\r\n\r\n")
	return status + "\n" + showBody(t, body)
}

func showResponse(t *testing.T, response *http.Response) string {
	is := is.New(t)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.True(response.Header.Get("X-Request-Id") != "")
	var out strings.Builder
	fmt.Fprintln(&out, response.StatusCode)
	for _, name := range []string{"Retry-After", "X-Should-Retry"} {
		if value := response.Header.Get(name); value != "" {
			fmt.Fprintf(&out, "%s: %s\n", name, value)
		}
	}
	return out.String() + showBody(t, string(body))
}

func showBody(t *testing.T, body string) string {
	var failed berylapi.ErrorBody
	if json.Unmarshal([]byte(body), &failed) != nil || failed.Error.Code == "" {
		return body
	}
	is := is.New(t)
	is.True(failed.Error.Type != "")
	param := "-"
	if failed.Error.Param != nil {
		param = *failed.Error.Param
	}
	return fmt.Sprintf("%s %s: %s\n", failed.Error.Code, param, failed.Error.Message)
}

// fakeDeduplicator is a berylonce.Deduplicator in memory.
type fakeDeduplicator struct {
	records       map[string]fakeRecord
	finishRefusal *beryloutcome.Refusal
}

type fakeRecord struct {
	hash   [32]byte
	answer berylonce.Answer
}

func (d *fakeDeduplicator) Begin(_ context.Context, intent berylonce.Intent) berylonce.Decision {
	record, found := d.records[intent.Key]
	switch {
	case !found:
		return berylonce.Decision{Run: &fakeTicket{deduplicator: d, intent: intent}}
	case record.hash != intent.BodyHash:
		return berylonce.Decision{Refusal: &beryloutcome.Refusal{
			Status: http.StatusUnprocessableEntity, Code: beryloutcome.CodeKeyReused, Message: "other body",
		}}
	default:
		return berylonce.Decision{Replay: &record.answer}
	}
}

type fakeTicket struct {
	deduplicator *fakeDeduplicator
	intent       berylonce.Intent
}

func (f *fakeTicket) Finish(_ context.Context, result beryloutcome.Result, answer berylonce.Answer) *beryloutcome.Refusal {
	if f.deduplicator.finishRefusal != nil {
		return f.deduplicator.finishRefusal
	}
	if result.Kind == beryloutcome.Answered {
		if f.deduplicator.records == nil {
			f.deduplicator.records = map[string]fakeRecord{}
		}
		f.deduplicator.records[f.intent.Key] = fakeRecord{hash: f.intent.BodyHash, answer: answer}
	}
	return nil
}
