package factory

import (
	"context"
	"errors"
	"fmt"
	"io"

	crdb "github.com/cockroachdb/errors"
)

// Exit codes of the command line.
const (
	ExitOK        = 0
	ExitError     = 1
	ExitCancelled = 2
	ExitAuth      = 4
)

// FlagError is an error in the command line arguments.
type FlagError struct {
	// Err is the cause.
	Err error
}

// Error returns the message of Err.
func (e *FlagError) Error() string { return e.Err.Error() }

// Unwrap returns Err.
func (e *FlagError) Unwrap() error { return e.Err }

// ErrCancelled is returned by a command that its user cancelled.
var ErrCancelled = errors.New("cancelled")

// ErrSilent is returned by a command that has already reported its error.
var ErrSilent = errors.New("silent")

// AuthError is an error about a missing or refused API key.
type AuthError struct {
	// Err is the cause.
	Err error
}

// Error returns the message of Err.
func (e *AuthError) Error() string { return e.Err.Error() }

// Unwrap returns Err.
func (e *AuthError) Unwrap() error { return e.Err }

// ReportError prints the error with its hints and returns the exit code of the process.
func ReportError(w io.Writer, err error) int {
	var auth *AuthError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrCancelled), errors.Is(err, context.Canceled):
		return ExitCancelled
	case errors.Is(err, ErrSilent):
		return ExitError
	}
	fmt.Fprintln(w, "berylroad:", err)
	for _, hint := range crdb.GetAllHints(err) {
		fmt.Fprintln(w, "  ->", hint)
	}
	if errors.As(err, &auth) {
		return ExitAuth
	}
	return ExitError
}
