package berylapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"mime/multipart"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	defaultCallTimeout = time.Minute
	maxContentBytes    = 1 << 30
)

// Client sends requests to one host or balancer; BaseURL and Key must be set.
type Client struct {
	// BaseURL is the address without a path, such as "http://10.0.0.7:8080".
	BaseURL string
	// Key is the caller's API key.
	Key string

	setUp sync.Once
	http  fasthttp.Client
}

// CallError is an answer that says why a request was not done.
type CallError struct {
	// Detail is the answer's error object.
	Detail Error
	// Status is the HTTP status.
	Status int
	// RetryAfter says when to come back, or is zero.
	RetryAfter time.Duration
}

// Error returns the status, the code and the message.
func (e *CallError) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Status, e.Detail.Code, e.Detail.Message)
}

// Upload sends an input file; sending it again with the same idempotency key gives the same file.
func (c *Client) Upload(ctx context.Context, idempotencyKey, name string, data []byte) (*File, error) {
	var body bytes.Buffer
	form := multipart.NewWriter(&body)
	if err := form.WriteField("purpose", "batch"); err != nil {
		return nil, err
	}
	part, err := form.CreateFormFile("file", name)
	if err != nil {
		return nil, err
	}
	if _, err := part.Write(data); err != nil {
		return nil, err
	}
	if err := form.Close(); err != nil {
		return nil, err
	}
	file := &File{}
	return file, c.call(ctx, exchange{
		method: fasthttp.MethodPost, path: "/v1/files", key: idempotencyKey,
		contentType: form.FormDataContentType(), body: body.Bytes(), into: file,
	})
}

// Submit sends a job over an uploaded file; sending it again with the same idempotency key gives the same job.
func (c *Client) Submit(ctx context.Context, idempotencyKey, endpoint, fileID string) (*Batch, error) {
	body, err := json.Marshal(struct {
		InputFileID      string `json:"input_file_id"`
		Endpoint         string `json:"endpoint"`
		CompletionWindow string `json:"completion_window"`
	}{fileID, endpoint, "24h"})
	if err != nil {
		return nil, err
	}
	batch := &Batch{}
	return batch, c.call(ctx, exchange{
		method: fasthttp.MethodPost, path: "/v1/batches", key: idempotencyKey,
		contentType: "application/json", body: body, into: batch,
	})
}

// Batch returns how far a job is.
func (c *Client) Batch(ctx context.Context, id string) (*Batch, error) {
	batch := &Batch{}
	return batch, c.call(ctx, exchange{method: fasthttp.MethodGet, path: "/v1/batches/" + id, into: batch})
}

// Cancel stops a job; a nil error means that the cancellation is durable.
func (c *Client) Cancel(ctx context.Context, id string) (*Batch, error) {
	batch := &Batch{}
	return batch, c.call(ctx, exchange{method: fasthttp.MethodPost, path: "/v1/batches/" + id + "/cancel", into: batch})
}

// Content returns the content of a file.
func (c *Client) Content(ctx context.Context, fileID string) ([]byte, error) {
	var content []byte
	return content, c.call(ctx, exchange{method: fasthttp.MethodGet, path: "/v1/files/" + fileID + "/content", raw: &content})
}

// Post sends a JSON body to a path such as "/v1/chat/completions" and returns the whole answer.
func (c *Client) Post(ctx context.Context, path string, body []byte) ([]byte, error) {
	var content []byte
	return content, c.call(ctx, exchange{
		method: fasthttp.MethodPost, path: path, contentType: "application/json", body: body, raw: &content,
	})
}

// exchange is one request and where its answer goes.
type exchange struct {
	method      string
	path        string
	key         string
	contentType string
	body        []byte
	into        any
	raw         *[]byte
}

func (c *Client) call(ctx context.Context, x exchange) error {
	c.setUp.Do(func() { c.http.MaxResponseBodySize = maxContentBytes })
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(x.method)
	request.SetRequestURI(c.BaseURL + x.path)
	request.Header.Set("Authorization", "Bearer "+c.Key)
	if x.key != "" {
		request.Header.Set("Idempotency-Key", x.key)
	}
	if x.contentType != "" {
		request.Header.SetContentType(x.contentType)
	}
	request.SetBodyRaw(x.body)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultCallTimeout)
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		return err
	}
	return x.read(response)
}

func (x *exchange) read(response *fasthttp.Response) error {
	body := response.Body()
	if response.StatusCode() >= fasthttp.StatusBadRequest {
		return readError(response, body)
	}
	if x.raw != nil {
		*x.raw = bytes.Clone(body)
		return nil
	}
	return json.Unmarshal(body, x.into)
}

func readError(response *fasthttp.Response, body []byte) error {
	var envelope ErrorBody
	if json.Unmarshal(body, &envelope) != nil || envelope.Error.Message == "" {
		envelope.Error.Message = "the answer has no error object"
	}
	failure := &CallError{Detail: envelope.Error, Status: response.StatusCode()}
	if wait, err := time.ParseDuration(string(response.Header.Peek("Retry-After")) + "s"); err == nil {
		failure.RetryAfter = wait
	}
	return failure
}
