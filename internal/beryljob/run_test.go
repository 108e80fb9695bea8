package beryljob

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylcall"
	"berylroad.example/berylroad/internal/beryletcd"
	"berylroad.example/berylroad/internal/beryloutcome"
)

// memoryPlatform is an in-memory platform's service. It can lose the answer of one write that took effect and fail the
// read after it.
type memoryPlatform struct {
	mu       sync.Mutex
	records  map[string]beryletcd.Record
	revision int64
	// loseAnswerPrefix, if set, loses the answer of the next change of a key with this prefix.
	loseAnswerPrefix string
	// failReads is the number of reads of job records that still fail.
	failReads int
}

func (m *memoryPlatform) Get(_ context.Context, key string) beryletcd.Read {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failReads > 0 && strings.HasPrefix(key, jobPrefix) {
		m.failReads--
		return beryletcd.Read{Status: beryletcd.Unavailable}
	}
	return beryletcd.Read{Status: beryletcd.Done, Record: m.records[key]}
}

func (m *memoryPlatform) List(context.Context, string, int, string) beryletcd.Listing {
	return beryletcd.Listing{Status: beryletcd.Done}
}

func (m *memoryPlatform) Remove(context.Context, string, int64) beryletcd.Outcome {
	return beryletcd.Outcome{Status: beryletcd.Done}
}

func (m *memoryPlatform) SwapSettled(_ context.Context, key string, value []byte, expect, _ int64) beryletcd.Outcome {
	m.mu.Lock()
	defer m.mu.Unlock()
	if current := m.records[key]; current.Revision != expect {
		return beryletcd.Outcome{Status: beryletcd.Conflict, Current: current}
	}
	m.revision++
	m.records[key] = beryletcd.Record{Key: key, Value: value, Revision: m.revision}
	if expect != 0 && m.loseAnswerPrefix != "" && strings.HasPrefix(key, m.loseAnswerPrefix) {
		m.loseAnswerPrefix = ""
		m.failReads = 1
		return beryletcd.Outcome{Status: beryletcd.Unknown}
	}
	return beryletcd.Outcome{Status: beryletcd.Done, Revision: m.revision}
}

// slowCalls answers each call 700 ms later than the one before, so that results are committed one by one.
type slowCalls struct {
	mu    sync.Mutex
	calls int
}

func (s *slowCalls) Do(ctx context.Context, _ berylcall.Request, sink berylcall.Sink) beryloutcome.Result {
	s.mu.Lock()
	s.calls++
	wait := time.Duration(s.calls) * 700 * time.Millisecond
	s.mu.Unlock()
	pause(ctx, wait)
	_ = sink.Start(200, "application/json")
	_ = sink.Write([]byte(`{}`))
	return beryloutcome.Result{Kind: beryloutcome.Answered}
}

type singleHost struct{}

func (singleHost) Alive(string, uint64) bool { return true }
func (singleHost) First(string) bool         { return true }

// A commit takes effect, but its answer is lost and the read of the record that follows fails. The runner must then not
// commit the same results a second time.
func TestCommitWithLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := logrus.New()
		log.SetOutput(io.Discard)
		platform := &memoryPlatform{records: map[string]beryletcd.Record{}, loseAnswerPrefix: jobPrefix}
		m := New(Config{Host: "h", Boot: 1, Platform: platform, Calls: &slowCalls{}, Members: singleHost{}, Log: log})
		var input strings.Builder
		const items = 4
		for i := range items {
			fmt.Fprintf(&input, `{"custom_id":"%d","method":"POST","url":"/v1/completions","body":{"model":"m"}}`+"\n", i)
		}
		file, refusal := m.Upload(t.Context(), "c", "k", "f", []byte(input.String()))
		is.True(refusal == nil)
		record, refusal := m.Submit(t.Context(), "c", "k", "/v1/completions", file.ID)
		is.True(refusal == nil)
		time.Sleep(time.Minute)
		m.runners.shutdown()
		record, refusal = m.Job(t.Context(), "c", record.ID)
		is.True(refusal == nil)
		is.Equal(record.State, Completed)
		is.Equal(record.Succeeded, items)
		output, refusal := m.results(t.Context(), "c", record.ID+outputSuffix)
		is.True(refusal == nil)
		for i := range items {
			is.Equal(strings.Count(string(output), fmt.Sprintf(`"custom_id":"%d"`, i)), 1) // exactly one result for each item
		}
	})
}
