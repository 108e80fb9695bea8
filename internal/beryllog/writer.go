package beryllog

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// queueLines is how many lines wait for a slow reader: some seconds of a host at its peak.
	queueLines = 4096
	// dropReportInterval is the least time between two lines that tell of dropped ones.
	dropReportInterval = time.Second
	// flushTimeout bounds the writing of the last lines at the end.
	flushTimeout = 500 * time.Millisecond
)

// Writer passes lines on to another writer from a goroutine of its own. When its queue is full it drops lines and counts
// them.
type Writer struct {
	out           io.Writer
	lines         chan []byte
	dropped       atomic.Int64
	reportedDrops int64
	done          chan struct{}
	stop          chan struct{}
}

// NewWriter returns a writer that passes lines on until Close.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{}), stop: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line; it never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil // left out by a Budget
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped counts the lines that were dropped.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Close writes what is queued, but does not wait long for a reader that has stopped reading.
func (w *Writer) Close() {
	close(w.stop)
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	select {
	case <-w.done:
	case <-ctx.Done():
	}
}

func (w *Writer) run() {
	defer close(w.done)
	last := time.Now()
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-w.stop:
			w.drain()
			return
		}
		if dropped := w.dropped.Load(); dropped > w.reportedDrops && time.Since(last) >= dropReportInterval {
			last = time.Now()
			w.reportedDrops = dropped
			w.writeLine(fmt.Appendf(nil, "{\"level\":\"warning\",\"msg\":\"log: lines dropped, the reader is too slow\",\"dropped-in-all\":%d}\n", dropped))
		}
	}
}

func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes one line; where even that fails there is nowhere left to tell of it.
func (w *Writer) writeLine(line []byte) {
	_, _ = w.out.Write(line)
}

// New returns a logger of JSON lines to the writer at that level, one of logrus's names.
func New(out io.Writer, level string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	log.SetLevel(parsed)
	return log, nil
}
