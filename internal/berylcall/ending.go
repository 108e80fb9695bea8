package berylcall

import (
	"fmt"
	"net/http"

	"berylroad.example/berylroad/internal/beryloutcome"
)

// endReason says why one attempt ended.
type endReason uint8

const (
	// endComplete marks a complete answer, including an error that the caller has to fix, such as status 400.
	endComplete endReason = iota
	// endConnectFailed marks a connection that could not be opened.
	endConnectFailed
	// endRefused marks an attempt that the upstream refused without running the request.
	endRefused
	// endServerError marks an answer by which the upstream reports its own failure.
	endServerError
	// endMalformed marks an answer that is not valid HTTP, JSON or, in a stream, server-sent events.
	endMalformed
	// endWrongRequest marks an answer that carries the ID of another request.
	endWrongRequest
	// endTooLarge marks an answer over its size limit.
	endTooLarge
	// endNoRoom marks an answer that this host has no memory to hold.
	endNoRoom
	// endConnectionLost marks a connection that was lost before the first byte of the answer.
	endConnectionLost
	// endTruncated marks an answer that broke off before it was complete.
	endTruncated
	// endStalled marks a stream that paused for too long.
	endStalled
	// endDeadline marks an attempt that was ended by the request's deadline.
	endDeadline
	// endCancelled marks an attempt that was cancelled because the caller gave up or another attempt was faster.
	endCancelled
	// endYielded marks an attempt of batch work that was stopped to free its slot for online work.
	endYielded
)

// String returns the name used in the decision tables of the tests and as a metric label.
func (e endReason) String() string {
	names := [...]string{
		"whole", "connect", "refused", "server", "garbage", "crossed", "too-large", "no-room",
		"lost", "cut", "stalled", "deadline", "cancelled", "yielded",
	}
	return names[e]
}

// isUpstreamFault reports whether the reason counts as a fault of the upstream. An attempt that this host ended
// counts only if the upstream was late.
func (e endReason) isUpstreamFault(late bool) bool {
	switch e {
	case endComplete, endRefused, endNoRoom, endYielded:
		return false
	case endDeadline, endCancelled:
		return late
	default:
		return true
	}
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	reason endReason
	// upstream is the name of the upstream that was called.
	upstream string
	// status is the answer's HTTP status, or zero if none came.
	status int
	// sentBytes counts the request bytes that may have reached the upstream.
	sentBytes int64
	// detail describes what went wrong, for the caller's error message.
	detail string
}

// notRun reports whether the upstream cannot have run the request.
func (e attemptResult) notRun() bool {
	return e.sentBytes == 0 || e.reason == endRefused
}

// classifyStatus returns the end reason for a response status. Status 429 and 503 mean that the request was not run. For a request
// that must not be repeated, they do only if the upstream states so: a service may also answer with them after a failed run.
func classifyStatus(status int, repeatable, statedNotRun bool) endReason {
	switch {
	case !beryloutcome.MayPassStatus(status, repeatable, statedNotRun):
		return endServerError
	case statedNotRun && beryloutcome.PromisesNotRun(status), status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return endRefused
	case status >= http.StatusInternalServerError:
		return endServerError
	default:
		return endComplete
	}
}

func statusDetail(status int) string {
	return fmt.Sprintf("it answered with status %d", status)
}
