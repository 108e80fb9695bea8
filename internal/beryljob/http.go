package beryljob

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime/multipart"
	"net/http"
	"strings"

	"github.com/gofiber/fiber/v3"

	"berylroad.example/berylroad/internal/beryletcd"
	"berylroad.example/berylroad/internal/berylgate"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/pkg/berylapi"
)

const (
	outputSuffix     = "-output"
	errorSuffix      = "-error"
	completionWindow = "24h"
)

// Mount adds the routes for files and batches.
func (m *Manager) Mount(router fiber.Router) {
	router.Post("/v1/files", m.handleUpload)
	router.Get("/v1/files/:id", m.handleFile)
	router.Get("/v1/files/:id/content", m.handleContent)
	router.Post("/v1/batches", m.handleSubmit)
	router.Get("/v1/batches/:id", m.handleJob)
	router.Post("/v1/batches/:id/cancel", m.handleCancel)
}

func (m *Manager) handleUpload(c fiber.Ctx) error {
	header, err := c.FormFile("file")
	if err != nil {
		return berylgate.Refuse(c, badInput("file", "send the file as the form field \"file\""))
	}
	if purpose := c.FormValue("purpose"); purpose != "batch" {
		return berylgate.Refuse(c, badInput("purpose", "must be \"batch\""))
	}
	data, err := readUpload(header)
	if err != nil {
		return berylgate.Refuse(c, badInput("file", "the upload was cut; send it again"))
	}
	file, refusal := m.Upload(c.Context(), berylgate.CallerOf(c).Name, idempotencyKey(c), strings.Clone(header.Filename), data)
	if refusal != nil {
		return berylgate.Refuse(c, refusal)
	}
	return c.JSON(fileView(file.ID, file.Name, len(file.Data), file.Created.Unix()))
}

// readUpload reads the uploaded file, but at most one byte more than maxInputBytes; Upload refuses a file of that size.
func readUpload(header *multipart.FileHeader) ([]byte, error) {
	file, err := header.Open()
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(io.LimitReader(file, maxInputBytes+1))
}

func idempotencyKey(c fiber.Ctx) string {
	return strings.Clone(c.Get("Idempotency-Key"))
}

func fileView(id, name string, size int, created int64) berylapi.File {
	return berylapi.File{ID: id, Object: "file", Bytes: size, CreatedAt: created, Filename: name, Purpose: "batch", Status: "processed"}
}

func (m *Manager) handleFile(c fiber.Ctx) error {
	caller, id := berylgate.CallerOf(c).Name, strings.Clone(c.Params("id"))
	if _, output := resultFile(id); output != "" {
		data, refusal := m.results(c.Context(), caller, id)
		if refusal != nil {
			return berylgate.Refuse(c, refusal)
		}
		return c.JSON(fileView(id, id+".jsonl", len(data), 0))
	}
	file, refusal := m.File(c.Context(), caller, id)
	if refusal != nil {
		return berylgate.Refuse(c, refusal)
	}
	return c.JSON(fileView(file.ID, file.Name, len(file.Data), file.Created.Unix()))
}

func (m *Manager) handleContent(c fiber.Ctx) error {
	caller, id := berylgate.CallerOf(c).Name, strings.Clone(c.Params("id"))
	c.Set("Content-Type", "application/jsonl")
	if _, output := resultFile(id); output != "" {
		data, refusal := m.results(c.Context(), caller, id)
		if refusal != nil {
			return berylgate.Refuse(c, refusal)
		}
		return c.Send(data)
	}
	file, refusal := m.File(c.Context(), caller, id)
	if refusal != nil {
		return berylgate.Refuse(c, refusal)
	}
	return c.Send(file.Data)
}

func (m *Manager) handleSubmit(c fiber.Ctx) error {
	var request struct {
		InputFileID      string          `json:"input_file_id"`
		Endpoint         string          `json:"endpoint"`
		CompletionWindow string          `json:"completion_window"`
		Metadata         json.RawMessage `json:"metadata"`
	}
	if err := json.Unmarshal(c.Body(), &request); err != nil {
		return berylgate.Refuse(c, badInput("body", "not a JSON object: "+err.Error()))
	}
	if request.InputFileID == "" {
		return berylgate.Refuse(c, badInput("input_file_id", "is missing; upload the file first"))
	}
	if request.CompletionWindow != completionWindow {
		return berylgate.Refuse(c, badInput("completion_window", "must be \""+completionWindow+"\""))
	}
	record, refusal := m.Submit(c.Context(), berylgate.CallerOf(c).Name, idempotencyKey(c), request.Endpoint, request.InputFileID)
	return answerJob(c, record, refusal)
}

func (m *Manager) handleJob(c fiber.Ctx) error {
	record, refusal := m.Job(c.Context(), berylgate.CallerOf(c).Name, strings.Clone(c.Params("id")))
	return answerJob(c, record, refusal)
}

func (m *Manager) handleCancel(c fiber.Ctx) error {
	record, refusal := m.Cancel(c.Context(), berylgate.CallerOf(c).Name, strings.Clone(c.Params("id")))
	return answerJob(c, record, refusal)
}

func answerJob(c fiber.Ctx, record *Record, refusal *beryloutcome.Refusal) error {
	if refusal != nil {
		return berylgate.Refuse(c, refusal)
	}
	return c.JSON(jobView(record))
}

func jobView(r *Record) berylapi.Batch {
	view := berylapi.Batch{
		ID:               r.ID,
		Object:           "batch",
		Endpoint:         r.Endpoint,
		InputFileID:      r.InputFile,
		CompletionWindow: completionWindow,
		Status:           string(r.State),
		CreatedAt:        r.Created.Unix(),
		RequestCounts:    berylapi.BatchCounts{Total: r.Total, Completed: r.Succeeded, Failed: r.Failed},
	}
	if r.Done() && r.Succeeded > 0 {
		view.OutputFileID = r.ID + outputSuffix
	}
	if r.Done() && r.Failed > 0 {
		view.ErrorFileID = r.ID + errorSuffix
	}
	return view
}

// resultFile splits the id of a result file into the job's id and outputSuffix or errorSuffix; the suffix is empty for
// other files.
func resultFile(id string) (job, suffix string) {
	for _, suffix := range [...]string{outputSuffix, errorSuffix} {
		if job, ok := strings.CutSuffix(id, suffix); ok {
			return job, suffix
		}
	}
	return "", ""
}

// results builds the content of a job's output or error file from the committed segments.
func (m *Manager) results(ctx context.Context, caller, id string) ([]byte, *beryloutcome.Refusal) {
	job, suffix := resultFile(id)
	record, refusal := m.Job(ctx, caller, job)
	if refusal != nil {
		return nil, refusal
	}
	items, refusal := m.inputItems(ctx, record)
	if refusal != nil {
		return nil, refusal
	}
	var lines bytes.Buffer
	for _, name := range record.Segments {
		segment, _, refusal := readValue[Segment](ctx, m.store, segmentPrefix+job+"/"+name)
		if refusal != nil {
			return nil, refusal
		}
		if segment == nil {
			return nil, &beryloutcome.Refusal{Status: http.StatusInternalServerError, Code: beryloutcome.CodeUpstream, Message: "a result segment is gone; tell the operators"}
		}
		for i := range segment.Results {
			result := &segment.Results[i]
			if result.Answered() == (suffix == outputSuffix) {
				writeLine(&lines, job, items, result)
			}
		}
	}
	return lines.Bytes(), nil
}

func (m *Manager) inputItems(ctx context.Context, record *Record) ([]Item, *beryloutcome.Refusal) {
	file, refusal := m.File(ctx, record.Caller, record.InputFile)
	if refusal != nil {
		return nil, refusal
	}
	items, err := parseInput(file.Data)
	if err != nil {
		return nil, badInput("input_file_id", err.Error())
	}
	return items, nil
}

// writeLine appends one result as a line of the OpenAI batch output format.
func writeLine(lines *bytes.Buffer, job string, items []Item, result *Result) {
	customID := items[result.Item].CustomID
	line := berylapi.BatchLine{ID: job + "-" + customID, CustomID: customID}
	if result.Status != 0 {
		line.Response = &berylapi.BatchResponse{StatusCode: result.Status, RequestID: line.ID, Body: result.Body}
	} else {
		line.Error = &berylapi.BatchError{Code: result.Code, Message: result.Message}
	}
	_ = json.NewEncoder(lines).Encode(&line) // can't fail: writes to a buffer succeed and the bodies are valid JSON
}

var _ Platform = (*beryletcd.Client)(nil)
