package berylonce

import (
	"net/http"
	"time"

	"berylroad.example/berylroad/internal/beryloutcome"
)

const (
	// CodeNotKept is the error code for a repeat of a request that is done, but whose answer was too large to be kept.
	CodeNotKept beryloutcome.Code = "answer-not-kept"
	// retryAfterInProgress is the Retry-After of a request that is still running.
	retryAfterInProgress = time.Second
	// retryAfterUnavailable is the Retry-After while the platform's key-value service does not answer.
	retryAfterUnavailable = 2 * time.Second
)

// refuseBadKey refuses a request whose key or caller name is invalid.
func refuseBadKey(message string) *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status: http.StatusBadRequest, Code: beryloutcome.CodeBadRequest, Param: "Idempotency-Key", Message: message,
	}
}

// refuseNotRun refuses a request that was not run because its key could not be claimed.
func refuseNotRun() *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status: http.StatusServiceUnavailable, Code: beryloutcome.CodeNotRun, RetryAfter: retryAfterUnavailable,
		Message: "the idempotency key could not be recorded, so the request was not run; send it again with the same key",
	}
}

// refuseInProgress refuses a request while a run under its key has not ended.
func refuseInProgress() *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status: http.StatusConflict, Code: beryloutcome.CodeInProgress, RetryAfter: retryAfterInProgress,
		Message: "a request with this idempotency key is running; send it again later with the same key to get its answer",
	}
}

// refuseKeyReused refuses a request whose key was used for another request.
func refuseKeyReused() *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status: http.StatusUnprocessableEntity, Code: beryloutcome.CodeKeyReused, Param: "Idempotency-Key",
		Message: "this idempotency key was used with another method, path or body; use a new key for a new request",
	}
}

// refuseUnknown refuses a repeat of a request that may have run and must not be run again.
func refuseUnknown() *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status: http.StatusBadGateway, Code: beryloutcome.CodeUnknown,
		Message: "the request may have run and is not run again under this key; check its effect before you send it with a new key",
	}
}

// refuseNotKept refuses a repeat of a request that is done, but whose answer was not kept.
func refuseNotKept() *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status: http.StatusGone, Code: CodeNotKept,
		Message: "the request with this idempotency key is done, but its answer was too large to be kept",
	}
}
