package berylapi

import "encoding/json"

// File describes a file that a caller uploaded or a job produced.
type File struct {
	// ID identifies the file.
	ID string `json:"id"`
	// Object is always "file".
	Object string `json:"object"`
	// Bytes is the size in bytes.
	Bytes int `json:"bytes"`
	// CreatedAt is the time at which the file was accepted, in seconds of Unix time.
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
	// ID identifies the job.
	ID string `json:"id"`
	// Object is always "batch".
	Object string `json:"object"`
	// Endpoint is the request path of every item.
	Endpoint string `json:"endpoint"`
	// InputFileID identifies the input file.
	InputFileID string `json:"input_file_id"`
	// CompletionWindow is always "24h".
	CompletionWindow string `json:"completion_window"`
	// Status is "in_progress", "cancelling", "cancelled" or "completed".
	Status string `json:"status"`
	// OutputFileID identifies the file of answers; empty until the job has ended.
	OutputFileID string `json:"output_file_id,omitempty"`
	// ErrorFileID identifies the file of failed items; empty until the job has ended.
	ErrorFileID string `json:"error_file_id,omitempty"`
	// CreatedAt is the time at which the job was accepted, in seconds of Unix time.
	CreatedAt int64 `json:"created_at"`
	// RequestCounts counts the items by outcome.
	RequestCounts BatchCounts `json:"request_counts"`
}

// BatchCounts counts a job's items.
type BatchCounts struct {
	// Total counts all items.
	Total int `json:"total"`
	// Completed counts the items that have an answer.
	Completed int `json:"completed"`
	// Failed counts the items that failed.
	Failed int `json:"failed"`
}

// BatchLine is one line of an output or error file.
type BatchLine struct {
	// ID identifies the line.
	ID string `json:"id"`
	// CustomID is the ID that the caller gave the item.
	CustomID string `json:"custom_id"`
	// Response is the answer, or nil if the item failed.
	Response *BatchResponse `json:"response"`
	// Error is the reason for a failure, or nil.
	Error *BatchError `json:"error"`
}

// BatchResponse is the answer to one item.
type BatchResponse struct {
	// StatusCode is the HTTP status.
	StatusCode int `json:"status_code"`
	// RequestID identifies the request.
	RequestID string `json:"request_id"`
	// Body is the JSON body of the answer.
	Body json.RawMessage `json:"body"`
}

// BatchError describes why an item failed.
type BatchError struct {
	// Code is the stable error code.
	Code string `json:"code"`
	// Message says what went wrong.
	Message string `json:"message"`
}
