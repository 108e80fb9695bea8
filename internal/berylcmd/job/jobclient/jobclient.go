package jobclient

import (
	"context"
	"errors"
	"net/http"

	crdb "github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/pkg/berylapi"
)

// Flags say which host to ask, and as whom.
type Flags struct {
	// Address is the base URL of a host or the balancer.
	Address string `help:"Base URL of a host or the balancer." env:"BERYLROAD_ADDRESS" required:"" placeholder:"URL"`
	// Key is the caller's API key.
	Key string `help:"API key; better set in the environment, where other users cannot see it." env:"BERYLROAD_KEY"`
}

// Client returns a client for the flags, or an AuthError when there is no key.
func (f *Flags) Client() (*berylapi.Client, error) {
	if f.Key == "" {
		return nil, &factory.AuthError{Err: errors.New("no API key: set BERYLROAD_KEY")}
	}
	return &berylapi.Client{BaseURL: f.Address, Key: f.Key}, nil
}

// Base is what every command on jobs works with besides its own flags.
type Base struct {
	Flags

	// IO are the streams.
	IO factory.IOStreams `kong:"-"`
	// Context ends when the process is told to stop.
	Context context.Context `kong:"-"`
}

// Prepare fills in what commands share and returns a client for the flags.
func (b *Base) Prepare(f *factory.Factory) (*berylapi.Client, error) {
	b.IO = f.IO
	b.Context = f.Context
	return b.Client()
}

// AddHint adds to an error what to do next.
func AddHint(err error) error {
	var call *berylapi.CallError
	if !errors.As(err, &call) {
		return crdb.WithHint(err, "check --address and that the host is ready")
	}
	if call.Status == http.StatusUnauthorized {
		return &factory.AuthError{Err: err}
	}
	if call.RetryAfter > 0 {
		return crdb.WithHintf(err, "try again in %s", call.RetryAfter)
	}
	return err
}
