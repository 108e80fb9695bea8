package berylapi

import "encoding/json"

// File describes a file that a caller uploaded or a job produced.
type File struct {
	// ID is the file's ID, which the server assigns.
	ID string `json:"id"`
	// Object is always "file".
	Object string `json:"object"`
	// Bytes is the size in bytes.
	Bytes int `json:"bytes"`
	// CreatedAt is the time at which an uploaded file was accepted, in seconds of Unix time; zero for a file that a job produced.
	CreatedAt int64 `json:"created_at"`
	// Filename is the name that the caller gave an uploaded file, or the ID followed by ".jsonl" for a file that a job produced.
	Filename string `json:"filename"`
	// Purpose is always "batch".
	Purpose string `json:"purpose"`
	// Status is always "processed".
	Status string `json:"status"`
}

// Batch describes a batch job.
type Batch struct {
	// ID is the job's ID, which the server assigns.
	ID string `json:"id"`
	// Object is always "batch".
	Object string `json:"object"`
	// Endpoint is the request path of every item.
	Endpoint string `json:"endpoint"`
	// InputFileID is the ID of the uploaded file that holds the items.
	InputFileID string `json:"input_file_id"`
	// CompletionWindow is always "24h".
	CompletionWindow string `json:"completion_window"`
	// Status is "in_progress", "cancelling", "cancelled" or "completed".
	Status string `json:"status"`
	// OutputFileID is the ID of the file with the answers of completed items. It is empty until the job has ended, and if there
	// are none.
	OutputFileID string `json:"output_file_id,omitempty"`
	// ErrorFileID is the ID of the file with the failed items. It is empty until the job has ended, and if there are none.
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
	// Completed counts the items that were answered with a 2xx status.
	Completed int `json:"completed"`
	// Failed counts the items that ended in any other way.
	Failed int `json:"failed"`
}

// BatchLine is one line of an output or error file.
type BatchLine struct {
	// ID is the job's ID, a hyphen and CustomID.
	ID string `json:"id"`
	// CustomID is the ID that the caller gave the item.
	CustomID string `json:"custom_id"`
	// Response is the answer, which may have an error status, or nil if there is none.
	Response *BatchResponse `json:"response"`
	// Error says why there is no answer; it is nil if there is one.
	Error *BatchError `json:"error"`
}

// BatchResponse is the answer to one item.
type BatchResponse struct {
	// StatusCode is the HTTP status of the answer.
	StatusCode int `json:"status_code"`
	// RequestID equals BatchLine.ID.
	RequestID string `json:"request_id"`
	// Body is the JSON body of the answer.
	Body json.RawMessage `json:"body"`
}

// BatchError describes why an item has no answer.
type BatchError struct {
	// Code is the stable error code, such as "too-large".
	Code string `json:"code"`
	// Message says what went wrong.
	Message string `json:"message"`
}
