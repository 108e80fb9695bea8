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
	// headerShouldRetry tells OpenAI clients whether to send the same request again by themselves.
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
		panic(err) // A struct of strings always marshals.
	}
	return data
}

// errorType returns the coarse kind that OpenAI clients know for a status.
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

// writeRefusal makes the refusal the whole answer.
func writeRefusal(ctx *fasthttp.RequestCtx, r *beryloutcome.Refusal) {
	ctx.Response.ResetBody()
	ctx.Response.SetStatusCode(r.Status)
	ctx.Response.Header.SetContentType(contentTypeJSON)
	if r.RetryAfter > 0 {
		ctx.Response.Header.Set(headerRetryAfter, retryAfterSeconds(r.RetryAfter))
	}
	ctx.Response.Header.Set(headerShouldRetry, strconv.FormatBool(mayRetry(r)))
	ctx.Response.SetBodyRaw(errorBody(r))
}

// retryAfterSeconds rounds up to whole seconds, at least one.
func retryAfterSeconds(wait time.Duration) string {
	wait = max(wait, minRetryAfter)
	seconds := (wait + time.Second - 1) / time.Second
	return strconv.FormatInt(int64(seconds), 10)
}

// mayRetry reports whether a client may send the same request again by itself: whoever refuses says so by a time.
func mayRetry(r *beryloutcome.Refusal) bool {
	return r.RetryAfter > 0
}

// refusalForResult returns what to tell the caller of a call that was not answered.
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

// notRun refuses a request of which nothing has run.
func notRun(message string) *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status:     http.StatusServiceUnavailable,
		Code:       beryloutcome.CodeNotRun,
		Message:    message,
		RetryAfter: minRetryAfter,
	}
}

// badRequest refuses a request whose named field is wrong.
func badRequest(param, message string) *beryloutcome.Refusal {
	return &beryloutcome.Refusal{
		Status:  http.StatusBadRequest,
		Code:    beryloutcome.CodeBadRequest,
		Message: message,
		Param:   param,
	}
}
