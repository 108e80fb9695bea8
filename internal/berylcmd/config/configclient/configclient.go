package configclient

import (
	"context"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/beryletcd"
)

// Base holds the flags and dependencies that the `berylroad config` commands share; their Options embed it.
type Base struct {
	// Endpoints lists the base URLs of the platform's key-value service.
	Endpoints []string `name:"platform" help:"Base URLs of the platform's key-value service." env:"BERYLROAD_PLATFORM" required:""`

	// IO holds the standard streams.
	IO factory.IOStreams `kong:"-"`
	// Context is cancelled when the process is told to stop.
	Context context.Context `kong:"-"`
}

// Prepare sets the dependencies from the factory and returns a client of the platform's key-value service. The command must close
// it.
func (b *Base) Prepare(f *factory.Factory) (*beryletcd.Client, error) {
	b.IO = f.IO
	b.Context = f.Context
	return f.Platform(b.Endpoints)
}
