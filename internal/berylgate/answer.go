package berylgate

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/pkg/berylapi"
)

const (
	contentTypeJSON   = "application/json"
	contentTypeStream = "text/event-stream"

	headerRetryAfter = "Retry-After"
	// headerShouldRetry tells OpenAI clients whether to retry the request automatically.
	headerShouldRetry = "X-Should-Retry"

	minRetryAfter = time.Second
)

// errorBody returns the JSON error body for a refusal.
func errorBody(r *beryloutcome.Refusal) []byte {
	body := berylapi.ErrorBody{Error: berylapi.Error{
		Message: r.Message,
		Type:    errorType(r.Status),
		Code:    string(r.Code),
	}}
	if r.Param != "" {
		body.Error.Param = &r.Param
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // marshaling cannot fail, because the struct contains only strings
	}
	return data
}

// errorType returns the error type of the OpenAI API for an HTTP status.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}

// writeRefusal replaces the response by a refusal.
func writeRefusal(ctx *fasthttp.RequestCtx, r *beryloutcome.Refusal) {
	r = r.Truthful()
	ctx.Response.ResetBody()
	ctx.Response.SetStatusCode(r.Status)
	ctx.Response.Header.SetContentType(contentTypeJSON)
	if r.RetryAfter > 0 {
		ctx.Response.Header.Set(headerRetryAfter, retryAfterSeconds(r.RetryAfter))
	}
	ctx.Response.Header.Set(headerShouldRetry, strconv.FormatBool(mayRetry(r)))
	ctx.Response.SetBodyRaw(errorBody(r))
}

// retryAfterSeconds formats a Retry-After value, rounded up to whole seconds and at least one.
func retryAfterSeconds(wait time.Duration) string {
	wait = max(wait, minRetryAfter)
	seconds := (wait + time.Second - 1) / time.Second
	return strconv.FormatInt(int64(seconds), 10)
}

// mayRetry reports whether a client may retry the request automatically, which is so if the refusal has a Retry-After.
func mayRetry(r *beryloutcome.Refusal) bool {
	return r.RetryAfter > 0
}

// refusalForResult returns the refusal for a call that ended without an answer.
func refusalForResult(result beryloutcome.Result) *beryloutcome.Refusal {
	if result.Refusal != nil {
		return result.Refusal
	}
	switch result.Kind {
	case beryloutcome.NotRun:
		return notRun("The request was not run; send it again.")
	case beryloutcome.Cancelled:
		return &beryloutcome.Refusal{
			Status:  http.StatusGatewayTimeout,
			Code:    beryloutcome.CodeCancelled,
			Message: "The request was cancelled before its answer was whole; it may have run.",
		}
	case beryloutcome.Failed:
		return &beryloutcome.Refusal{
			Status:  http.StatusBadGateway,
			Code:    beryloutcome.CodeUpstream,
			Message: "The upstream failed the request; check the request, then send it again.",
		}
	default:
		return &beryloutcome.Refusal{
			Status:  http.StatusGatewayTimeout,
			Code:    beryloutcome.CodeUnknown,
			Message: "The request may have run, but its answer did not arrive; send it again only if it may run twice.",
		}
	}
}

// notRun returns the refusal of a request that was not run and may be sent again.
func notRun(message string) *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status:     http.StatusServiceUnavailable,
		Code:       beryloutcome.CodeNotRun,
		Message:    message,
		RetryAfter: minRetryAfter,
	}
}

// badRequest returns the refusal of a request with an invalid field or header, which param names.
func badRequest(param, message string) *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status:  http.StatusBadRequest,
		Code:    beryloutcome.CodeBadRequest,
		Message: message,
		Param:   param,
	}
}
