package berylfake_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylfake"
)

func startEngine(t *testing.T, options berylfake.EngineOptions) *berylfake.Engine {
	t.Helper()
	e, err := berylfake.StartEngine("127.0.0.1:0", options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

func post(t *testing.T, url, body string) (int, []byte) {
	t.Helper()
	answer, err := http.Post(url, "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer.StatusCode, data
}

func TestEngineAnswersAreAFunctionOfTheRequest(t *testing.T) {
	for _, tt := range []struct {
		name string
		path string
		body string
		want string
	}{
		{
			name: "chat",
			path: "/v1/chat/completions",
			body: `{"model":"m","max_tokens":3,"messages":[{"role":"user","content":"one two"}]}`,
			want: "fefa7fcf#0 two one ",
		},
		{
			name: "text",
			path: "/v1/completions",
			body: `{"model":"m","max_tokens":2,"prompt":"one two"}`,
			want: "8ab63e29#0 two ",
		},
		{
			name: "continued",
			path: "/v1/completions",
			body: `{"model":"m","max_tokens":3,"prompt":"one two","continue_from":1}`,
			want: "two one ",
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := startEngine(t, berylfake.EngineOptions{Models: []string{"m"}, Resume: true})
			for _, stream := range []bool{false, true} {
				body := fmt.Sprintf(`{"stream":%t,%s`, stream, tt.body[1:])
				status, data := post(t, e.URL()+tt.path, body)
				is.Equal(status, 200)
				text, whole, err := berylfake.ReadAnswer(stream, data)
				is.NoErr(err)
				is.True(whole)
				is.Equal(text, tt.want)
				expected, err := berylfake.EngineAnswer(tt.path, []byte(body))
				is.NoErr(err)
				is.Equal(expected, tt.want)
				is.Equal(e.Counts().ByBody[berylfake.BodyHash([]byte(body))], berylfake.RunCounts{Started: 1, Finished: 1})
			}
		})
	}
}

func TestEngineRefusesBadRequests(t *testing.T) {
	e := startEngine(t, berylfake.EngineOptions{Models: []string{"m"}})
	for _, tt := range []struct {
		name string
		body string
		want int
	}{
		{name: "not JSON", body: `{`, want: 400},
		{name: "no messages", body: `{"model":"m"}`, want: 400},
		{name: "other model", body: `{"model":"n","messages":[{"role":"user","content":"x"}]}`, want: 404},
		{name: "beyond the end", body: `{"model":"m","max_tokens":2,"continue_from":3,"messages":[{"content":"x"}]}`, want: 400},
	} {
		t.Run(tt.name, func(t *testing.T) {
			status, _ := post(t, e.URL()+"/v1/chat/completions", tt.body)
			is.New(t).Equal(status, tt.want)
		})
	}
	is.New(t).Equal(e.Counts().Started, 0)
}

func timeCompletion(t *testing.T, url, prompt string) time.Duration {
	t.Helper()
	began := time.Now()
	status, _ := post(t, url+"/v1/completions", fmt.Sprintf(`{"max_tokens":1,"prompt":%q}`, prompt))
	if status != 200 {
		t.Fatalf("status %d", status)
	}
	return time.Since(began)
}

func TestEngineCachesPrefixes(t *testing.T) {
	is := is.New(t)
	const prefill = 200 * time.Millisecond
	e := startEngine(t, berylfake.EngineOptions{PrefillTime: prefill, CachedPrefixes: 2})
	is.True(timeCompletion(t, e.URL(), "first") >= prefill)
	is.True(timeCompletion(t, e.URL(), "first") < prefill) // the engine has the prompt's prefix in its cache, so it skips the prefill time
	timeCompletion(t, e.URL(), "second")
	timeCompletion(t, e.URL(), "third")
	is.True(timeCompletion(t, e.URL(), "first") >= prefill) // the cache holds two prefixes, so the second and third prompts have evicted the first
}

func TestEngineSlowsWithItsBatchAndReportsLate(t *testing.T) {
	is := is.New(t)
	const token, lag, runs = 50 * time.Millisecond, 150 * time.Millisecond, 5
	e := startEngine(t, berylfake.EngineOptions{TokenTime: token, BatchGrowth: 1, LoadLag: lag})
	is.Equal(reportedLoad(t, e), 0)
	var group sync.WaitGroup
	began := time.Now()
	for i := range runs {
		group.Go(func() {
			post(t, e.URL()+"/v1/completions", fmt.Sprintf(`{"max_tokens":3,"prompt":"p%d"}`, i))
		})
	}
	group.Wait()
	is.True(time.Since(began) >= 2*token*runs) // with BatchGrowth 1, n concurrent runs make each token n times as slow
	is.True(reportedLoad(t, e) > 0)            // the engine reports its load of 150 ms ago, when requests were still running
	time.Sleep(2 * lag)
	is.Equal(reportedLoad(t, e), 0)
}

func reportedLoad(t *testing.T, e *berylfake.Engine) int {
	t.Helper()
	answer, err := http.Get(e.URL() + "/load")
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	var load struct {
		Running int `json:"running"`
	}
	if err := json.NewDecoder(answer.Body).Decode(&load); err != nil {
		t.Fatal(err)
	}
	return load.Running
}

func TestFaultsOverHTTP(t *testing.T) {
	is := is.New(t)
	s, err := berylfake.StartService("127.0.0.1:0", berylfake.ServiceOptions{})
	is.NoErr(err)
	defer s.Close()
	status, _ := post(t, s.URL()+"/standin/fault", `{"mode":"status","status":503,"requests":1}`)
	is.Equal(status, 204)
	status, _ = post(t, s.URL()+"/order", "one")
	is.Equal(status, 503)
	status, body := post(t, s.URL()+"/order", "one")
	is.Equal(status, 200)
	is.Equal(body, berylfake.ServiceAnswer("POST", "/order", []byte("one")))
	status, _ = post(t, s.URL()+"/standin/fault", `{"mood":"bad"}`)
	is.Equal(status, 400)
	status, _ = post(t, s.URL()+"/standin/fault", `{"mode":"refuse","for":"50ms"}`)
	is.Equal(status, 204)
	_, err = http.Get(s.URL())
	is.True(err != nil) // under the fault, the stand-in refuses connections for 50 ms
	for err != nil {
		var answer *http.Response
		if answer, err = http.Get(s.URL()); err == nil {
			answer.Body.Close()
		}
	}
	counts := s.Counts()
	is.Equal(counts.Refused, 1)
	is.Equal(counts.ByBody[berylfake.BodyHash([]byte("one"))].Started, 1)
}
