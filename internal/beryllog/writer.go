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
	// queueLines is the maximum number of lines queued for a slow reader: some seconds of output of a host at peak load.
	queueLines = 4096
	// dropReportInterval is the minimum time between two lines that report dropped lines.
	dropReportInterval = time.Second
	// flushTimeout bounds how long Close waits for queued lines to be written.
	flushTimeout = 500 * time.Millisecond
)

// Writer queues lines and writes them to another writer in a goroutine of its own. When the queue is full, it drops and counts
// lines.
type Writer struct {
	out           io.Writer
	lines         chan []byte
	dropped       atomic.Int64
	reportedDrops int64
	done          chan struct{}
	stop          chan struct{}
}

// NewWriter returns a Writer that writes to out until Close.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{}), stop: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of the line, or drops it if the queue is full. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil // RateLimitedFormatter returns an empty line for an entry that it drops
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Close stops the writer after it has written the queued lines. It waits at most flushTimeout, in case the reader has stopped.
func (w *Writer) Close() {
	close(w.stop)
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	select {
	case <-w.done:
	case <-ctx.Done():
	}
}

// run writes queued lines until Close, and reports dropped ones.
func (w *Writer) run() {
	defer close(w.done)
	lastReport := time.Now()
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-w.stop:
			w.drain()
			return
		}
		if dropped := w.dropped.Load(); dropped > w.reportedDrops && time.Since(lastReport) >= dropReportInterval {
			lastReport = time.Now()
			w.reportedDrops = dropped
			w.writeLine(fmt.Appendf(nil, "{\"level\":\"warning\",\"msg\":\"log: lines dropped, the reader is too slow\",\"dropped-in-all\":%d}\n", dropped))
		}
	}
}

// drain writes the lines that are queued now.
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

// writeLine writes one line. An error is ignored, because there is nowhere left to report it.
func (w *Writer) writeLine(line []byte) {
	_, _ = w.out.Write(line)
}

// New returns a logger that writes JSON lines to out. The level is the name of a logrus level.
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
