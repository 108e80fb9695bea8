package beryljob

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"time"

	"berylroad.example/berylroad/internal/beryletcd"
	"berylroad.example/berylroad/internal/beryloutcome"
)

// idBytes is how much of a hash or nonce stands in an id.
const idBytes = 12

// newID returns an id that is the same whenever the caller sends the same idempotency key, and new without one.
func newID(kind, caller, key string) string {
	if key == "" {
		key = newNonce()
	}
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\x00%s\x00%s", kind, caller, key))
	return kind + "-" + hex.EncodeToString(sum[:idBytes])
}

// Upload records an input after checking every line; the same idempotency key gives the same file.
func (m *Manager) Upload(ctx context.Context, caller, key, name string, data []byte) (*File, *beryloutcome.Refusal) {
	if len(data) > maxInputBytes {
		return nil, &beryloutcome.Refusal{
			Status:  http.StatusRequestEntityTooLarge,
			Code:    beryloutcome.CodeTooLarge,
			Message: fmt.Sprintf("the file has %d bytes; send at most %d in one", len(data), maxInputBytes),
			Param:   "file",
		}
	}
	if _, err := parseInput(data); err != nil {
		return nil, badInput("file", err.Error())
	}
	file := &File{ID: newID("file", caller, key), Caller: caller, Name: name, Created: time.Now().UTC(), Data: data, Nonce: newNonce()}
	outcome, refusal := m.store.create(ctx, filePrefix+file.ID, file)
	if refusal != nil {
		return nil, refusal
	}
	if outcome.Status == beryletcd.Conflict {
		return m.File(ctx, caller, file.ID)
	}
	return file, nil
}

// File returns the caller's file of that id.
func (m *Manager) File(ctx context.Context, caller, id string) (*File, *beryloutcome.Refusal) {
	file, _, refusal := readValue[File](ctx, m.store, filePrefix+id)
	if refusal != nil {
		return nil, refusal
	}
	if file == nil || file.Caller != caller {
		return nil, notFound("file", id)
	}
	return file, nil
}

// Submit accepts a job over an uploaded file; the same idempotency key gives the same job.
func (m *Manager) Submit(ctx context.Context, caller, key, endpoint, fileID string) (*Record, *beryloutcome.Refusal) {
	file, refusal := m.File(ctx, caller, fileID)
	if refusal != nil {
		return nil, refusal
	}
	total, refusal := checkEndpoint(file.Data, endpoint)
	if refusal != nil {
		return nil, refusal
	}
	record := &Record{
		ID:        newID("batch", caller, key),
		Caller:    caller,
		Endpoint:  endpoint,
		InputFile: fileID,
		Created:   time.Now().UTC(),
		State:     Running,
		Epoch:     1,
		Owner:     m.Host,
		OwnerBoot: m.Boot,
		Total:     total,
		Nonce:     newNonce(),
	}
	// The open mark goes first: a job without a mark would not be taken over, a mark without a job is swept.
	if _, refusal := m.store.create(ctx, openPrefix+record.ID, &openMarker{Nonce: record.Nonce}); refusal != nil {
		return nil, refusal
	}
	outcome, refusal := m.store.create(ctx, jobPrefix+record.ID, record)
	if refusal != nil {
		return nil, refusal
	}
	if outcome.Status == beryletcd.Conflict {
		return m.Job(ctx, caller, record.ID)
	}
	m.start(record, outcome.Revision)
	return record, nil
}

// Job returns the caller's job of that id.
func (m *Manager) Job(ctx context.Context, caller, id string) (*Record, *beryloutcome.Refusal) {
	record, _, refusal := readValue[Record](ctx, m.store, jobPrefix+id)
	if refusal != nil {
		return nil, refusal
	}
	if record == nil || record.Caller != caller {
		return nil, notFound("batch", id)
	}
	return record, nil
}

// Cancel records that no further item of the job may start; the answer comes once that is durable.
func (m *Manager) Cancel(ctx context.Context, caller, id string) (*Record, *beryloutcome.Refusal) {
	for {
		record, revision, refusal := readValue[Record](ctx, m.store, jobPrefix+id)
		if refusal != nil {
			return nil, refusal
		}
		if record == nil || record.Caller != caller {
			return nil, notFound("batch", id)
		}
		if record.State != Running {
			return record, nil
		}
		record.State = Cancelling
		record.Nonce = newNonce()
		outcome := m.store.platform.SwapSettled(ctx, jobPrefix+id, encode(record), revision, 0)
		switch outcome.Status {
		case beryletcd.Done:
			m.requestReread(id)
			return record, nil
		case beryletcd.Unavailable:
			return nil, platformUnavailable()
		case beryletcd.Unknown:
			return nil, &beryloutcome.Refusal{Status: http.StatusServiceUnavailable, Code: beryloutcome.CodeUnknown, Message: "it is not known whether the cancellation was recorded; cancel again", RetryAfter: platformRetryInterval}
		}
	}
}

// checkEndpoint returns the number of items after checking that each calls the endpoint.
func checkEndpoint(data []byte, endpoint string) (int, *beryloutcome.Refusal) {
	items, err := parseInput(data)
	if err != nil {
		return 0, badInput("input_file_id", err.Error())
	}
	for i, item := range items {
		if item.URL != endpoint {
			return 0, badInput("endpoint", fmt.Sprintf("item %d calls %s, but the job's endpoint is %q; send them in one job each", i+1, item.URL, endpoint))
		}
	}
	return len(items), nil
}

func badInput(param, message string) *beryloutcome.Refusal {
	return &beryloutcome.Refusal{Status: http.StatusBadRequest, Code: beryloutcome.CodeBadRequest, Param: param, Message: message}
}

func notFound(kind, id string) *beryloutcome.Refusal {
	return &beryloutcome.Refusal{Status: http.StatusNotFound, Code: beryloutcome.CodeNotFound, Param: kind + "_id", Message: fmt.Sprintf("no %s %q of yours; check the id", kind, id)}
}
