// Package factory holds what the commands share: the standard streams, typed errors with exit codes, and constructors of dependencies.
package factory
