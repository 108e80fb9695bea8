package lift

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylcmd/factory"
)

func TestLift(t *testing.T) {
	for _, tt := range []struct {
		name    string
		address string
		status  int
		want    string
		fails   string
	}{
		{name: "lifted", status: http.StatusNoContent, want: "lifted k1\n"},
		{name: "unknown key", status: http.StatusNotFound, fails: "knows no quarantined prompt parts with the key k1"},
		{name: "error response", status: http.StatusInternalServerError, fails: "status 500"},
		{name: "no address", address: "nowhere", fails: "missing port"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				is.Equal(r.Method+" "+r.URL.Path, "DELETE /quarantine/k1")
				w.WriteHeader(tt.status)
			}))
			defer server.Close()
			if tt.address == "" {
				tt.address = server.Listener.Addr().String()
			}
			var out bytes.Buffer
			err := runLift(&Options{Key: "k1", Address: tt.address, IO: factory.IOStreams{Out: &out}, Context: t.Context(), HTTP: server.Client()})
			if tt.fails != "" {
				is.True(err != nil && strings.Contains(err.Error(), tt.fails))
				return
			}
			is.NoErr(err)
			is.Equal(out.String(), tt.want)
		})
	}
}
