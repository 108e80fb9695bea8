// Package factory holds what commands share: the streams, typed errors and things made only when a command needs them.
package factory
