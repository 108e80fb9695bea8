package berylcall

import (
	"fmt"
	"net/http"
)

// endReason names how one upstream call ended.
type endReason uint8

const (
	// endWhole marks an answer that arrived whole, errors that the caller has to mend included.
	endWhole endReason = iota
	// endConnect marks a connection that could not be opened.
	endConnect
	// endRefused marks a call that the upstream turned away unrun.
	endRefused
	// endServer marks an answer that says the upstream failed.
	endServer
	// endGarbage marks an answer that breaks its own format.
	endGarbage
	// endCrossed marks an answer that carries another request's id.
	endCrossed
	// endTooLarge marks an answer over its limit.
	endTooLarge
	// endLost marks a connection that ended before the first byte of the answer.
	endLost
	// endCut marks an answer that ended before it was whole.
	endCut
	// endStalled marks a stream that paused for too long.
	endStalled
	// endDeadline marks a call that its deadline ended.
	endDeadline
	// endCancelled marks a call that the caller gave up on.
	endCancelled
	// endYielded marks a batch call stopped in favour of online work.
	endYielded
)

// String returns the name used in tables of decisions and in metrics.
func (e endReason) String() string {
	names := [...]string{
		"whole", "connect", "refused", "server", "garbage", "crossed", "too-large",
		"lost", "cut", "stalled", "deadline", "cancelled", "yielded",
	}
	return names[e]
}

// isUpstreamFault reports whether the ending speaks against the upstream. A call ended from this side does so only if it was late.
func (e endReason) isUpstreamFault(late bool) bool {
	switch e {
	case endWhole, endRefused, endYielded:
		return false
	case endDeadline, endCancelled:
		return late
	default:
		return true
	}
}

// attemptResult is what one upstream call has come to.
type attemptResult struct {
	reason endReason
	// upstream names the upstream called.
	upstream string
	// status is the answer's HTTP status, or zero if none came.
	status int
	// sentBytes counts the request bytes that may have reached the upstream.
	sentBytes int64
	// detail says what was seen, for the caller's error message.
	detail string
}

// notRun reports whether the upstream cannot have run the request.
func (e attemptResult) notRun() bool {
	return e.sentBytes == 0 || e.reason == endRefused
}

// classifyStatus sorts an answer by its status. Being turned away with 429 means unrun. So does 503, but a request that
// must not be repeated does not rely on it, because a service may also answer 503 after a failed run.
func classifyStatus(status int, repeatable bool) endReason {
	switch {
	case status == http.StatusTooManyRequests:
		return endRefused
	case status == http.StatusServiceUnavailable && repeatable:
		return endRefused
	case status >= http.StatusInternalServerError:
		return endServer
	default:
		return endWhole
	}
}

func statusDetail(status int) string {
	return fmt.Sprintf("it answered with status %d", status)
}
