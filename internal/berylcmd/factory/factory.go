package factory

import (
	"context"
	"io"
	"os"

	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/beryletcd"
)

// IOStreams holds the streams that a command reads and writes.
type IOStreams struct {
	// In is the standard input.
	In io.Reader
	// Out receives the output of the command.
	Out io.Writer
	// ErrOut receives errors, progress and logs.
	ErrOut io.Writer
	// Terminal reports whether Out is a terminal.
	Terminal bool
}

// System returns the standard streams of the process.
func System() IOStreams {
	info, err := os.Stdout.Stat()
	terminal := err == nil && info.Mode()&os.ModeCharDevice != 0
	return IOStreams{In: os.Stdin, Out: os.Stdout, ErrOut: os.Stderr, Terminal: terminal}
}

// Factory creates the dependencies that commands share.
type Factory struct {
	// IO holds the standard streams.
	IO IOStreams
	// Context is cancelled when the process is told to stop.
	Context context.Context
}

// Log returns a logger that writes JSON lines to ErrOut. The level must be the name of a logrus level.
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

// Platform returns a client of the platform's key-value service at the given base URLs.
func (f *Factory) Platform(endpoints []string) (*beryletcd.Client, error) {
	client, err := beryletcd.New(beryletcd.Config{Endpoints: endpoints})
	if err != nil {
		return nil, &FlagError{Err: err}
	}
	return client, nil
}
