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

// memory is a platform's service in memory that can lose the answer of a record's write and the read after it.
type memory struct {
	mu       sync.Mutex
	records  map[string]beryletcd.Record
	revision int64
	loseKey  string
	readDown int
}

func (m *memory) Get(_ context.Context, key string) beryletcd.Read {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.readDown > 0 && strings.HasPrefix(key, jobPrefix) {
		m.readDown--
		return beryletcd.Read{Status: beryletcd.Unavailable}
	}
	return beryletcd.Read{Status: beryletcd.Done, Record: m.records[key]}
}

func (m *memory) List(context.Context, string, int, string) beryletcd.Listing {
	return beryletcd.Listing{Status: beryletcd.Done}
}

func (m *memory) Remove(context.Context, string, int64) beryletcd.Outcome {
	return beryletcd.Outcome{Status: beryletcd.Done}
}

func (m *memory) SwapSettled(_ context.Context, key string, value []byte, expect, _ int64) beryletcd.Outcome {
	m.mu.Lock()
	defer m.mu.Unlock()
	if current := m.records[key]; current.Revision != expect {
		return beryletcd.Outcome{Status: beryletcd.Conflict, Current: current}
	}
	m.revision++
	m.records[key] = beryletcd.Record{Key: key, Value: value, Revision: m.revision}
	if expect != 0 && m.loseKey != "" && strings.HasPrefix(key, m.loseKey) {
		m.loseKey = ""
		m.readDown = 1
		return beryletcd.Outcome{Status: beryletcd.Unknown}
	}
	return beryletcd.Outcome{Status: beryletcd.Done, Revision: m.revision}
}

// slowCalls answers each item after a time that grows with the number of calls.
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

type onlyHost struct{}

func (onlyHost) Alive(string, uint64) bool { return true }
func (onlyHost) First(string) bool         { return true }

// TestCommitWithLostAnswer loses the answer of a commit that took effect, and the read after it.
func TestCommitWithLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := logrus.New()
		log.SetOutput(io.Discard)
		platform := &memory{records: map[string]beryletcd.Record{}, loseKey: jobPrefix}
		d := New(Config{Host: "h", Boot: 1, Platform: platform, Calls: &slowCalls{}, Members: onlyHost{}, Log: log})
		var input strings.Builder
		const items = 4
		for i := range items {
			fmt.Fprintf(&input, `{"custom_id":"%d","method":"POST","url":"/v1/completions","body":{"model":"m"}}`+"\n", i)
		}
		file, refusal := d.Upload(t.Context(), "c", "k", "f", []byte(input.String()))
		is.True(refusal == nil)
		record, refusal := d.Submit(t.Context(), "c", "k", "/v1/completions", file.ID)
		is.True(refusal == nil)
		time.Sleep(time.Minute)
		d.runs.end()
		record, refusal = d.Job(t.Context(), "c", record.ID)
		is.True(refusal == nil)
		is.Equal(record.State, Completed)
		is.Equal(record.Succeeded, items)
		output, refusal := d.results(t.Context(), "c", record.ID+outputSuffix)
		is.True(refusal == nil)
		for i := range items {
			is.Equal(strings.Count(string(output), fmt.Sprintf(`"custom_id":"%d"`, i)), 1) // every item has exactly one result
		}
	})
}
