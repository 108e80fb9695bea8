package jobclient

import (
	"context"
	"errors"
	"net/http"

	crdb "github.com/cockroachdb/errors"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/pkg/berylapi"
)

// Flags select the host to call and the caller to authenticate as.
type Flags struct {
	// Address is the base URL of a host or the balancer.
	Address string `help:"Base URL of a host or the balancer." env:"BERYLROAD_ADDRESS" required:"" placeholder:"URL"`
	// Key is the caller's API key.
	Key string `help:"API key. Set it in the environment, where other users cannot see it." env:"BERYLROAD_KEY"`
}

// Client returns an API client for the flags, or an AuthError if there is no key.
func (f *Flags) Client() (*berylapi.Client, error) {
	if f.Key == "" {
		return nil, &factory.AuthError{Err: errors.New("no API key: set BERYLROAD_KEY")}
	}
	return &berylapi.Client{BaseURL: f.Address, Key: f.Key}, nil
}

// Base holds the flags and dependencies that the `berylroad job` commands share; their Options embed it.
type Base struct {
	Flags

	// IO holds the standard streams.
	IO factory.IOStreams `kong:"-"`
	// Context is cancelled when the process is told to stop.
	Context context.Context `kong:"-"`
}

// Prepare sets the dependencies from the factory and returns an API client for the flags.
func (b *Base) Prepare(f *factory.Factory) (*berylapi.Client, error) {
	b.IO = f.IO
	b.Context = f.Context
	return b.Client()
}

// AddHint adds a hint on what to do next to an error of the API client. An unauthorized response becomes an AuthError.
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
