package beryloutcome

import "net/http"

// PromisesNotRun reports whether an answer with the HTTP status tells its caller that the request has not run and never will.
// After such an answer callers send even requests again that must not be repeated.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// MayPassStatus reports whether the status of an upstream's answer may reach the caller. If the status promises that the request
// has not run, it may only for a repeatable request, or if the upstream states beside the status that it has not run it. Status 421
// is a statement of its own: the request has reached another upstream than it was meant for.
func MayPassStatus(status int, repeatable, statedNotRun bool) bool {
	return repeatable || statedNotRun || status == http.StatusMisdirectedRequest || !PromisesNotRun(status)
}

// Truthful returns the refusal, with status 502 if its own status promises that the request has not run and its code says that it
// may have. Every refusal passes it before it is written.
func (r *Refusal) Truthful() *Refusal {
	if !PromisesNotRun(r.Status) {
		return r
	}
	switch r.Code {
	case CodeUnknown, CodeUpstream, CodeCancelled:
		truthful := *r
		truthful.Status = http.StatusBadGateway
		return &truthful
	default:
		return r
	}
}
