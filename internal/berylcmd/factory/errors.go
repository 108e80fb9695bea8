package factory

import (
	"context"
	"errors"
	"fmt"
	"io"

	crdb "github.com/cockroachdb/errors"
)

// The exit codes of the command line.
const (
	ExitOK        = 0
	ExitError     = 1
	ExitCancelled = 2
	ExitAuth      = 4
)

// FlagError is a mistake on the command line.
type FlagError struct {
	// Err says what is wrong.
	Err error
}

// Error returns the message of the mistake.
func (e *FlagError) Error() string { return e.Err.Error() }

// Unwrap returns the error below.
func (e *FlagError) Unwrap() error { return e.Err }

// ErrCancelled ends a command that its user cancelled.
var ErrCancelled = errors.New("cancelled")

// ErrSilent ends a command that has already said what went wrong.
var ErrSilent = errors.New("silent")

// AuthError is a missing or refused key.
type AuthError struct {
	// Err says what is wrong.
	Err error
}

// Error returns the message of the refusal.
func (e *AuthError) Error() string { return e.Err.Error() }

// Unwrap returns the error below.
func (e *AuthError) Unwrap() error { return e.Err }

// Exit prints the error with its hints and returns the exit code for it.
func Exit(w io.Writer, err error) int {
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
