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
	// defaultCallTimeout is the timeout of a call whose context has no deadline.
	defaultCallTimeout = time.Minute
	// maxContentBytes is the maximum size of a response body.
	maxContentBytes = 1 << 30
)

// Client sends requests to a host or a balancer. BaseURL and Key must be set.
type Client struct {
	// BaseURL is the URL without a path, such as "http://10.0.0.7:8080".
	BaseURL string
	// Key is the caller's API key.
	Key string

	initOnce sync.Once
	http     fasthttp.Client
}

// CallError is an error response of the server.
type CallError struct {
	// Detail is the error object of the response.
	Detail Error
	// Status is the HTTP status of the response.
	Status int
	// RetryAfter is how long to wait before a retry, or zero if the response does not say.
	RetryAfter time.Duration
}

// Error returns the status, the code and the message.
func (e *CallError) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Status, e.Detail.Code, e.Detail.Message)
}

// Upload uploads an input file. Repeating the upload with the same idempotency key returns the same file.
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
	return file, c.do(ctx, apiCall{
		method: fasthttp.MethodPost, path: "/v1/files", idempotencyKey: idempotencyKey,
		contentType: form.FormDataContentType(), body: body.Bytes(), jsonTarget: file,
	})
}

// Submit starts a job on an uploaded file. Repeating the call with the same idempotency key returns the same job.
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
	return batch, c.do(ctx, apiCall{
		method: fasthttp.MethodPost, path: "/v1/batches", idempotencyKey: idempotencyKey,
		contentType: "application/json", body: body, jsonTarget: batch,
	})
}

// Batch returns the state of a job.
func (c *Client) Batch(ctx context.Context, id string) (*Batch, error) {
	batch := &Batch{}
	return batch, c.do(ctx, apiCall{method: fasthttp.MethodGet, path: "/v1/batches/" + id, jsonTarget: batch})
}

// Cancel cancels a job. A nil error means that the cancellation is durable.
func (c *Client) Cancel(ctx context.Context, id string) (*Batch, error) {
	batch := &Batch{}
	return batch, c.do(ctx, apiCall{method: fasthttp.MethodPost, path: "/v1/batches/" + id + "/cancel", jsonTarget: batch})
}

// Content returns the content of a file.
func (c *Client) Content(ctx context.Context, fileID string) ([]byte, error) {
	var content []byte
	return content, c.do(ctx, apiCall{method: fasthttp.MethodGet, path: "/v1/files/" + fileID + "/content", rawTarget: &content})
}

// Post sends a JSON body to a path such as "/v1/chat/completions" and returns the complete response body.
func (c *Client) Post(ctx context.Context, path string, body []byte) ([]byte, error) {
	var content []byte
	return content, c.do(ctx, apiCall{
		method: fasthttp.MethodPost, path: path, contentType: "application/json", body: body, rawTarget: &content,
	})
}

// apiCall is one request and the destination of its response body: decoded into jsonTarget, or copied to rawTarget if that is set.
type apiCall struct {
	method         string
	path           string
	idempotencyKey string
	contentType    string
	body           []byte
	jsonTarget     any
	rawTarget      *[]byte
}

// do sends the request and decodes the response.
func (c *Client) do(ctx context.Context, x apiCall) error {
	c.initOnce.Do(func() { c.http.MaxResponseBodySize = maxContentBytes })
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(x.method)
	request.SetRequestURI(c.BaseURL + x.path)
	request.Header.Set("Authorization", "Bearer "+c.Key)
	if x.idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", x.idempotencyKey)
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
	return x.decode(response)
}

// decode stores the response body in the call's destination, or returns a CallError.
func (x *apiCall) decode(response *fasthttp.Response) error {
	body := response.Body()
	if response.StatusCode() >= fasthttp.StatusBadRequest {
		return readError(response, body)
	}
	if x.rawTarget != nil {
		*x.rawTarget = bytes.Clone(body)
		return nil
	}
	return json.Unmarshal(body, x.jsonTarget)
}

// readError converts an error response to a CallError.
func readError(response *fasthttp.Response, body []byte) error {
	var envelope ErrorBody
	if json.Unmarshal(body, &envelope) != nil || envelope.Error.Message == "" {
		envelope.Error.Message = "the response has no error object"
	}
	failure := &CallError{Detail: envelope.Error, Status: response.StatusCode()}
	if wait, err := time.ParseDuration(string(response.Header.Peek("Retry-After")) + "s"); err == nil {
		failure.RetryAfter = wait
	}
	return failure
}
