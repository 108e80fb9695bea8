package status

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylcmd/factory"
)

const statusBody = `{"host":"h1","failure-domain":"z","serving":true,"ready":true,"config-version":7,"routes":3,"watcher":"h2",
"followed":[{"prefix":"op/","age-ms":400},{"prefix":"servers/","age-ms":-1,"away":true}],
"members":[{"host":"h1","failure-domain":"z"},{"host":"h2","failure-domain":"y","leaving":true}],
"upstreams":[{"id":"i-1","owner":"h1","slots":8,"online":2,"batch":5},{"id":"i-2","owner":"h2","slots":8}],
"jobs":[{"id":"j1","route":"r","items":4,"listed":1}],
"quarantine":[{"key":"k1","parts":["a","b"],"host":"h2","crashes":["u1","u2","u3"],"trials":1,"next-trial-ms":2000}]}`

func TestStatus(t *testing.T) {
	for _, tt := range []struct {
		name   string
		status int
		body   string
		json   bool
		limit  int
		want   []string
		fails  string
	}{
		{name: "tables", status: 200, body: statusBody, limit: 5, want: []string{
			"h1 in z: ready, configuration 7 with 3 routes", "watched by h2", "op/       400ms  answers", "servers/  never  away",
			"h2    y               leaving", "in use  8      2       5", "in use  8      -       -", "nobody  1 of 4",
			"k1          a,b           h2         3        1       2s",
		}},
		{name: "isolated", status: 200, body: `{"host":"h1","failure-domain":"z","path":"isolated"}`, limit: 5, want: []string{"not reached by this host itself: isolated"}},
		{name: "pace", status: 200, body: `{"upstreams":[{"id":"i-1","pace":2,"pace-cause":"recovered"}]}`, limit: 5, want: []string{"in use, pace 2 (recovered)"}},
		{name: "limit", status: 200, body: statusBody, limit: 1, want: []string{"and 1 more, shown with --limit or --json"}},
		{name: "json", status: 200, body: statusBody, json: true, want: []string{`"config-version":7`}},
		{name: "error response", status: 404, fails: "status 404"},
		{name: "response is not JSON", status: 200, body: "<html>", fails: "does not answer as an entry host"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				is.Equal(r.URL.Path, "/status")
				w.WriteHeader(tt.status)
				_, _ = w.Write([]byte(tt.body))
			}))
			defer server.Close()
			var out bytes.Buffer
			err := runStatus(&Options{
				Address: server.Listener.Addr().String(), JSON: tt.json, Limit: tt.limit,
				IO: factory.IOStreams{Out: &out}, Context: t.Context(), HTTP: server.Client(),
			})
			if tt.fails != "" {
				is.True(err != nil && strings.Contains(err.Error(), tt.fails))
				return
			}
			is.NoErr(err)
			for _, want := range tt.want {
				if !strings.Contains(out.String(), want) {
					t.Errorf("no %q in\n%s", want, out.String())
				}
			}
		})
	}
}
