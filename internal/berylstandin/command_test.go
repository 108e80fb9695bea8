package berylstandin_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylstandin"
)

func TestStandinsServe(t *testing.T) {
	for _, tt := range []struct {
		name string
		path string
		want string
	}{
		{name: "engine", path: "/v1/models", want: `"object":"list"`},
		{name: "hosts", path: "", want: "["},
		{name: "service", path: "/echo", want: `"path":"/echo"`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			out, in := io.Pipe()
			code := make(chan int)
			go func() {
				code <- berylstandin.Main(ctx, []string{tt.name}, berylstandin.Streams{Out: in, Err: io.Discard})
			}()
			url := make([]byte, 256)
			n, err := out.Read(url)
			is.NoErr(err)
			answer, err := http.Get(strings.TrimSpace(string(url[:n])) + tt.path)
			is.NoErr(err)
			defer answer.Body.Close()
			body, err := io.ReadAll(answer.Body)
			is.NoErr(err)
			is.True(strings.Contains(string(body), tt.want))
			cancel()
			is.Equal(<-code, 0)
		})
	}
}

func TestUnknownCommand(t *testing.T) {
	is := is.New(t)
	var messages bytes.Buffer
	code := berylstandin.Main(context.Background(), []string{"oracle"}, berylstandin.Streams{Out: io.Discard, Err: &messages})
	is.Equal(code, 1)
	is.True(strings.Contains(messages.String(), "oracle"))
}
