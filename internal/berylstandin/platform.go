package berylstandin

import (
	"context"

	"berylroad.example/berylroad/internal/berylfake"
)

type platformOptions struct {
	listenOptions
}

// Run runs a stand-in for the platform's key-value service until ctx ends.
func (o *platformOptions) Run(ctx context.Context, streams Streams) error {
	p, err := berylfake.StartPlatform(o.Listen)
	if err != nil {
		return err
	}
	return serve(ctx, streams, p)
}
