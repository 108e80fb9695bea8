package beryllog_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/beryllog"
)

// blockableWriter collects lines; its writes block while a test holds the lock blocked.
type blockableWriter struct {
	mu      sync.Mutex
	blocked sync.Mutex
	text    bytes.Buffer
}

func (r *blockableWriter) Write(p []byte) (int, error) {
	r.blocked.Lock()
	defer r.blocked.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(p)
}

func (r *blockableWriter) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.String()
}

// A reader that stops does not block the code that logs: lines are dropped and counted, and reported once it reads again.
func TestStalledOutput(t *testing.T) {
	is := is.New(t)
	var r blockableWriter
	w := beryllog.NewWriter(&r)
	log, err := beryllog.New(w, "info")
	is.NoErr(err)
	r.blocked.Lock()
	began := time.Now()
	for range 10_000 {
		log.WithField("request", "q").Info("request: ended")
	}
	is.True(time.Since(began) < 5*time.Second) // at most 0.5 ms per line, which any machine meets unless a write blocks
	is.True(w.Dropped() > 5000)
	time.Sleep(1100 * time.Millisecond)
	r.blocked.Unlock()
	for range 200 {
		if strings.Contains(r.String(), "lines dropped") {
			break
		}
		log.Info("more")
		time.Sleep(10 * time.Millisecond)
	}
	is.True(strings.Contains(r.String(), "lines dropped"))
	w.Close()
}

func TestLastLinesAreWritten(t *testing.T) {
	is := is.New(t)
	var r blockableWriter
	w := beryllog.NewWriter(&r)
	log, err := beryllog.New(w, "info")
	is.NoErr(err)
	log.WithField("status", 503).Warn("host: stopped")
	w.Close()
	is.True(strings.Contains(r.String(), `"msg":"host: stopped","status":503`))
	_, err = beryllog.New(w, "loud")
	is.True(err != nil)
}

// BenchmarkLine measures the cost of logging the end of one request, without the cost of the reader.
func BenchmarkLine(b *testing.B) {
	w := beryllog.NewWriter(discard{})
	log, err := beryllog.New(w, "info")
	if err != nil {
		b.Fatal(err)
	}
	defer w.Close()
	for b.Loop() {
		log.WithFields(map[string]any{
			"request": "9c41d07be2a35f68", "route": "r-a3hwrr6", "outcome": "answered", "upstream": "i-7f3a91c2", "sends": 1, "ran": 1,
			"waited-ms": 0, "first-ms": 31, "total-ms": 702, "last-event": 34,
		}).Info("request: ended")
	}
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
