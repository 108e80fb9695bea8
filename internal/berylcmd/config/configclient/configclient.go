package configclient

import (
	"context"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/beryletcd"
)

// Base is what the commands work with besides their own flags.
type Base struct {
	// Endpoints are base URLs of the platform's service.
	Endpoints []string `name:"platform" help:"Base URLs of the platform's key-value service." env:"BERYLROAD_PLATFORM" required:""`

	// IO are the streams.
	IO factory.IOStreams `kong:"-"`
	// Context ends when the process is told to stop.
	Context context.Context `kong:"-"`
}

// Prepare fills in what commands share and returns a client of the platform's service, which the command closes.
func (b *Base) Prepare(f *factory.Factory) (*beryletcd.Client, error) {
	b.IO = f.IO
	b.Context = f.Context
	return f.Platform(b.Endpoints)
}
