package beryllog

import (
	"bytes"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// rateWindow is the time for which a budget holds.
const rateWindow = time.Second

// RateLimitedFormatter is a formatter that leaves out lines of frequent messages over a number a second, and tells how many it left out.
type RateLimitedFormatter struct {
	// Formatter formats what is written.
	Formatter logrus.Formatter
	// LimitedMessages are those that have a budget; all others are always written.
	LimitedMessages []string
	// MaxLinesPerSecond is how many lines of each message are written in a second.
	MaxLinesPerSecond int

	mu          sync.Mutex
	windowStart time.Time
	written     map[string]int
	suppressed  map[string]int
}

var _ logrus.Formatter = (*RateLimitedFormatter)(nil)

// Format returns the line of an entry, or nothing where it is left out; lines that tell of others that were left out in
// the last second go before it.
func (b *RateLimitedFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	told, ok := b.allow(entry.Time, entry.Message)
	var text bytes.Buffer
	for _, message := range slices.Sorted(maps.Keys(told)) {
		fields := logrus.Fields{"message": message, "lines": told[message]}
		if host, named := entry.Data["host"]; named {
			fields["host"] = host
		}
		line, err := b.Formatter.Format(&logrus.Entry{
			Logger: entry.Logger, Time: entry.Time, Level: logrus.WarnLevel, Message: "log: lines left out, too many in a second", Data: fields,
		})
		if err != nil {
			return nil, err
		}
		text.Write(line)
	}
	if ok {
		line, err := b.Formatter.Format(entry)
		if err != nil {
			return nil, err
		}
		text.Write(line)
	}
	return text.Bytes(), nil
}

// allow uses up one line of a message's budget; told counts what was left out in the span that has ended, if any.
func (b *RateLimitedFormatter) allow(now time.Time, message string) (told map[string]int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if since := now.Sub(b.windowStart); b.written == nil || since >= rateWindow || since < 0 {
		told = b.suppressed
		b.windowStart, b.written, b.suppressed = now, make(map[string]int), make(map[string]int)
	}
	if !slices.Contains(b.LimitedMessages, message) {
		return told, true
	}
	if b.written[message] >= b.MaxLinesPerSecond {
		b.suppressed[message]++
		return told, false
	}
	b.written[message]++
	return told, true
}

// LimitMessageRate lets a logger write at most so many lines a second of each of the messages.
func LimitMessageRate(log *logrus.Logger, lines int, messages ...string) {
	log.SetFormatter(&RateLimitedFormatter{Formatter: log.Formatter, LimitedMessages: messages, MaxLinesPerSecond: lines})
}
