package beryloutcome

import "time"

// Kind says how a call ended.
type Kind uint8

const (
	// Unset is the zero value and marks a call that has not ended.
	Unset Kind = iota
	// Answered marks a call whose answer arrived in full.
	Answered
	// Failed marks a call that the upstream answered with an error or with a malformed answer.
	Failed
	// NotRun marks a call that has not run: no byte of it can have reached an upstream, or the upstream refused it
	// without running it.
	NotRun
	// Unknown marks a call that may have run although its answer did not arrive.
	Unknown
	// Cancelled marks a call whose caller gave up on it.
	Cancelled
	// Yielded marks a call of batch work that was stopped to free its slot for online work.
	Yielded
)

// String returns the name used in errors, logs and metrics.
func (k Kind) String() string {
	switch k {
	case Answered:
		return "answered"
	case Failed:
		return "failed"
	case NotRun:
		return "not-run"
	case Unknown:
		return "outcome-unknown"
	case Cancelled:
		return "cancelled"
	case Yielded:
		return "yielded"
	default:
		return "unset"
	}
}

// Code is the stable code of an error answer to a caller.
type Code string

const (
	// CodeNotRun says that the request was not run and may be sent again.
	CodeNotRun Code = "not-run"
	// CodeUnknown says that the request may have run.
	CodeUnknown Code = "outcome-unknown"
	// CodeBadRequest says that the request itself is wrong.
	CodeBadRequest Code = "bad-request"
	// CodeUnauthorized says that the API key is missing or unknown.
	CodeUnauthorized Code = "unauthorized"
	// CodeOverLimit says that the caller has reached one of its limits; the request was not run.
	CodeOverLimit Code = "over-limit"
	// CodeInProgress says that a request with the same idempotency key is running.
	CodeInProgress Code = "in-progress"
	// CodeKeyReused says that an idempotency key was sent before with a different body.
	CodeKeyReused Code = "key-reused"
	// CodeNotFound says that the model, service, job or file does not exist.
	CodeNotFound Code = "not-found"
	// CodeTooLarge says that the body or a header is over its limit.
	CodeTooLarge Code = "too-large"
	// CodeUpstream says that the upstream ran the request and failed.
	CodeUpstream Code = "upstream-failed"
	// CodeCancelled says that the caller or an operator cancelled the request.
	CodeCancelled Code = "cancelled"
)

// Refusal is an error answer to a caller. A nil *Refusal means that there is no error.
type Refusal struct {
	// Status is the HTTP status.
	Status int
	// Code is the stable error code that the caller gets.
	Code Code
	// Message says what is wrong and what to do next.
	Message string
	// Param names the field at fault, or is empty.
	Param string
	// RetryAfter is how long to wait before trying again, or zero if trying again is of no use.
	RetryAfter time.Duration
}

// Error returns the code and the message.
func (r *Refusal) Error() string {
	return string(r.Code) + ": " + r.Message
}

// Result is the result of one call.
type Result struct {
	// Kind says how the call ended.
	Kind Kind
	// SentBytes counts the request bytes that may have reached an upstream.
	SentBytes int64
	// Refusal is the error answer to the caller, if there is one and Kind is not Answered.
	Refusal *Refusal
	// Upstream names the upstream that answered last, or is empty.
	Upstream string
	// TimeToFirstToken is the time from the start of the upstream call to its first body byte. In results of berylrelay
	// it starts with the request instead, and so includes the wait for a permit.
	TimeToFirstToken time.Duration
	// Tokens counts the streamed events that reached the sink.
	Tokens int
	// Attempts counts the upstream calls, including hedges.
	Attempts int
	// Version is the software version of the upstream that began the answer, if berylcall made the call.
	Version string
}
