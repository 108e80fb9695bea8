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

// idBytes is the number of bytes of the SHA-256 hash that an id contains in hexadecimal.
const idBytes = 12

// newID returns the id of a new file or job. The same caller and idempotency key always give the same id; without a key
// the id is random.
func newID(kind, caller, key string) string {
	if key == "" {
		key = newNonce()
	}
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\x00%s\x00%s", kind, caller, key))
	return kind + "-" + hex.EncodeToString(sum[:idBytes])
}

// Upload stores an input file after checking every line. A second upload with the same idempotency key returns the first
// file.
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

// Submit accepts a job that runs the items of an uploaded file. A second submission with the same idempotency key returns
// the first job.
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
	// The open marker is written first: a job without a marker would never be taken over, while a marker without a job is
	// ignored.
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

// Cancel records that no further item of the job may start. It returns once the cancellation is durable; the job's owner
// then cancels the items in flight.
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
			return nil, &beryloutcome.Refusal{Status: http.StatusGatewayTimeout, Code: beryloutcome.CodeUnknown, Message: "it is not known whether the cancellation was recorded; cancel again", RetryAfter: platformRetryInterval}
		}
	}
}

// checkEndpoint checks that every item has the endpoint as its path, and returns the number of items.
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
