package factory

import (
	"context"
	"io"
	"os"

	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/beryletcd"
)

// IOStreams are where a command reads and writes.
type IOStreams struct {
	// In is the standard input.
	In io.Reader
	// Out takes what was asked for.
	Out io.Writer
	// ErrOut takes errors, progress and logs.
	ErrOut io.Writer
	// Terminal marks an Out that a person reads.
	Terminal bool
}

// System returns the process's own streams.
func System() IOStreams {
	info, err := os.Stdout.Stat()
	terminal := err == nil && info.Mode()&os.ModeCharDevice != 0
	return IOStreams{In: os.Stdin, Out: os.Stdout, ErrOut: os.Stderr, Terminal: terminal}
}

// Factory makes what commands share.
type Factory struct {
	// IO are the streams.
	IO IOStreams
	// Context ends when the process is told to stop.
	Context context.Context
}

// Log returns a logger that writes lines of JSON to ErrOut; the level must be one of logrus's names.
func (f *Factory) Log(level string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, &FlagError{Err: err}
	}
	log := logrus.New()
	log.SetOutput(f.IO.ErrOut)
	log.SetFormatter(&logrus.JSONFormatter{})
	log.SetLevel(parsed)
	return log, nil
}

// Platform returns a client of the platform's key-value service.
func (f *Factory) Platform(endpoints []string) (*beryletcd.Client, error) {
	client, err := beryletcd.New(beryletcd.Config{Endpoints: endpoints})
	if err != nil {
		return nil, &FlagError{Err: err}
	}
	return client, nil
}
