package berylwire

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Fault says why a call got no answer.
type Fault uint8

const (
	// Unreachable means that nothing of the request was sent.
	Unreachable Fault = iota + 1
	// Lost means that the request was sent and may have been handled.
	Lost
	// Remote means that the peer's handler returned an error.
	Remote
	// Malformed means that the peer could not read the request and did not handle it.
	Malformed
	// UnknownKind means that the peer has no handler for the request's kind.
	UnknownKind
	// Busy means that the peer already handles as many requests of the kind as it may and did not handle this one.
	Busy
	// BadReply means that the peer's answer could not be read; the request was handled.
	BadReply
)

// String returns the name used in errors and metrics.
func (f Fault) String() string {
	switch f {
	case Unreachable:
		return "unreachable"
	case Lost:
		return "lost"
	case Remote:
		return "remote-error"
	case Malformed:
		return "malformed"
	case UnknownKind:
		return "unknown-kind"
	case Busy:
		return "busy"
	case BadReply:
		return "bad-reply"
	default:
		return "answered"
	}
}

// Error is the error of every failed call.
type Error struct {
	// Fault says why the call failed.
	Fault Fault
	// Peer is the name of the host that was called.
	Peer string
	// Kind names the handler that the request was for.
	Kind string
	// Cause is the underlying error or, for Remote, the truncated text of the handler's error.
	Cause error
}

// Error names the fault, the peer, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s to %s: %s: %v", e.Kind, e.Peer, e.Fault, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// FaultOf returns the fault of a failed call, or zero if err is not an *Error.
func FaultOf(err error) Fault {
	var e *Error
	if errors.As(err, &e) {
		return e.Fault
	}
	return 0
}

// MayHaveRun reports whether the peer may have handled the request of a failed call.
func MayHaveRun(err error) bool {
	switch FaultOf(err) {
	case Unreachable, Malformed, UnknownKind, Busy:
		return false
	default:
		return err != nil
	}
}

// opaque hides the list of causes of a QUIC error, which may hold a nil error and then can't be formatted once it is wrapped.
// errors.Is and errors.As still see the error and its causes.
func opaque(err error) error {
	if err == nil {
		return nil
	}
	return &opaqueError{err: err}
}

type opaqueError struct {
	err error
}

func (e *opaqueError) Error() string { return e.err.Error() }

// Is implements the test of errors.Is.
func (e *opaqueError) Is(target error) bool { return errors.Is(e.err, target) }

// As implements the test of errors.As.
func (e *opaqueError) As(target any) bool { return errors.As(e.err, target) }
