package beryllog

import (
	"bytes"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// rateWindow is the time over which the lines of a message are counted.
const rateWindow = time.Second

// RateLimitedFormatter wraps a formatter and drops the lines of frequent messages above a maximum per second. The next line after
// that second is preceded by the number of lines that were dropped.
type RateLimitedFormatter struct {
	// Formatter formats the lines that are written.
	Formatter logrus.Formatter
	// LimitedMessages lists the messages that are limited; all others are always written.
	LimitedMessages []string
	// MaxLinesPerSecond is the maximum for each limited message.
	MaxLinesPerSecond int

	mu          sync.Mutex
	windowStart time.Time
	written     map[string]int // lines written in this window, by message
	suppressed  map[string]int // lines dropped in this window, by message
}

var _ logrus.Formatter = (*RateLimitedFormatter)(nil)

// Format returns the formatted line of an entry, or nothing if the line is dropped. If a window has ended, a line for each message
// that had lines dropped in it comes first.
func (f *RateLimitedFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	dropped, ok := f.allow(entry.Time, entry.Message)
	var text bytes.Buffer
	for _, message := range slices.Sorted(maps.Keys(dropped)) {
		fields := logrus.Fields{"message": message, "lines": dropped[message]}
		if host, named := entry.Data["host"]; named {
			fields["host"] = host
		}
		line, err := f.Formatter.Format(&logrus.Entry{
			Logger: entry.Logger, Time: entry.Time, Level: logrus.WarnLevel, Message: "log: lines left out, too many in a second", Data: fields,
		})
		if err != nil {
			return nil, err
		}
		text.Write(line)
	}
	if ok {
		line, err := f.Formatter.Format(entry)
		if err != nil {
			return nil, err
		}
		text.Write(line)
	}
	return text.Bytes(), nil
}

// allow reports whether a line of the message may be written, and counts it. If the current window has ended, it starts a new one
// and returns the numbers of lines dropped in the old one, by message.
func (f *RateLimitedFormatter) allow(now time.Time, message string) (dropped map[string]int, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if since := now.Sub(f.windowStart); f.written == nil || since >= rateWindow || since < 0 {
		dropped = f.suppressed
		f.windowStart, f.written, f.suppressed = now, make(map[string]int), make(map[string]int)
	}
	if !slices.Contains(f.LimitedMessages, message) {
		return dropped, true
	}
	if f.written[message] >= f.MaxLinesPerSecond {
		f.suppressed[message]++
		return dropped, false
	}
	f.written[message]++
	return dropped, true
}

// LimitMessageRate limits a logger to maxPerSecond lines a second of each of the messages.
func LimitMessageRate(log *logrus.Logger, maxPerSecond int, messages ...string) {
	log.SetFormatter(&RateLimitedFormatter{Formatter: log.Formatter, LimitedMessages: messages, MaxLinesPerSecond: maxPerSecond})
}
