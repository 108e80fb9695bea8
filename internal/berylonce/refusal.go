package berylonce

import (
	"net/http"
	"time"

	"berylroad.example/berylroad/internal/beryloutcome"
)

const (
	// CodeNotKept says that the request is done and that its answer was too large to be kept for a repeat.
	CodeNotKept beryloutcome.Code = "answer-not-kept"
	// retryAfterInProgress is when to ask again for a request that is running.
	retryAfterInProgress = time.Second
	// retryAfterUnavailable is when to ask again while the platform's service gives no answer.
	retryAfterUnavailable = 2 * time.Second
)

// refuseBadKey tells that the key can't be used.
func refuseBadKey(message string) *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status: http.StatusBadRequest, Code: beryloutcome.CodeBadRequest, Param: "Idempotency-Key", Message: message,
	}
}

// refuseNotRun tells that this request was not run since its intent could not be recorded.
func refuseNotRun() *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status: http.StatusServiceUnavailable, Code: beryloutcome.CodeNotRun, RetryAfter: retryAfterUnavailable,
		Message: "the idempotency key could not be recorded, so the request was not run; send it again with the same key",
	}
}

// refuseInProgress tells that a run under the key has not ended.
func refuseInProgress() *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status: http.StatusConflict, Code: beryloutcome.CodeInProgress, RetryAfter: retryAfterInProgress,
		Message: "a request with this idempotency key is running; send it again later with the same key to get its answer",
	}
}

// refuseKeyReused tells that the key belongs to another request.
func refuseKeyReused() *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status: http.StatusUnprocessableEntity, Code: beryloutcome.CodeKeyReused, Param: "Idempotency-Key",
		Message: "this idempotency key was used with another method, path or body; use a new key for a new request",
	}
}

// refuseUnknown tells that a never-repeat request may have run.
func refuseUnknown() *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status: http.StatusBadGateway, Code: beryloutcome.CodeUnknown,
		Message: "the request may have run and is not run again under this key; check its effect before you send it with a new key",
	}
}

// refuseNotKept tells that the answer can't be given again.
func refuseNotKept() *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status: http.StatusGone, Code: CodeNotKept,
		Message: "the request with this idempotency key is done, but its answer was too large to be kept",
	}
}
