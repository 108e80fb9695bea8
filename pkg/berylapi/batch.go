package berylapi

import "encoding/json"

// File describes an uploaded or produced file.
type File struct {
	// ID names the file.
	ID string `json:"id"`
	// Object is always "file".
	Object string `json:"object"`
	// Bytes is the size in bytes.
	Bytes int `json:"bytes"`
	// CreatedAt is when it was accepted, in seconds of Unix time.
	CreatedAt int64 `json:"created_at"`
	// Filename is the name the caller gave it.
	Filename string `json:"filename"`
	// Purpose is always "batch".
	Purpose string `json:"purpose"`
	// Status is always "processed".
	Status string `json:"status"`
}

// Batch describes a batch job.
type Batch struct {
	// ID names the job.
	ID string `json:"id"`
	// Object is always "batch".
	Object string `json:"object"`
	// Endpoint is the path that every item calls.
	Endpoint string `json:"endpoint"`
	// InputFileID names the input.
	InputFileID string `json:"input_file_id"`
	// CompletionWindow is always "24h".
	CompletionWindow string `json:"completion_window"`
	// Status is "in_progress", "cancelling", "cancelled" or "completed".
	Status string `json:"status"`
	// OutputFileID names the file of answers once the job has ended.
	OutputFileID string `json:"output_file_id,omitempty"`
	// ErrorFileID names the file of items that could not be done once the job has ended.
	ErrorFileID string `json:"error_file_id,omitempty"`
	// CreatedAt is when the job was accepted, in seconds of Unix time.
	CreatedAt int64 `json:"created_at"`
	// RequestCounts counts the items by their end.
	RequestCounts BatchCounts `json:"request_counts"`
}

// BatchCounts counts a job's items.
type BatchCounts struct {
	// Total counts all items.
	Total int `json:"total"`
	// Completed counts the items with an answer.
	Completed int `json:"completed"`
	// Failed counts the items that could not be done.
	Failed int `json:"failed"`
}

// BatchLine is one line of an output or error file.
type BatchLine struct {
	// ID names the line.
	ID string `json:"id"`
	// CustomID is the caller's name for the item.
	CustomID string `json:"custom_id"`
	// Response is the answer, or nil.
	Response *BatchResponse `json:"response"`
	// Error says why there is no answer, or is nil.
	Error *BatchError `json:"error"`
}

// BatchResponse is the answer to one item.
type BatchResponse struct {
	// StatusCode is the HTTP status.
	StatusCode int `json:"status_code"`
	// RequestID names the request.
	RequestID string `json:"request_id"`
	// Body is the answer's body.
	Body json.RawMessage `json:"body"`
}

// BatchError says why an item has no answer.
type BatchError struct {
	// Code is the stable error code.
	Code string `json:"code"`
	// Message says what went wrong.
	Message string `json:"message"`
}
