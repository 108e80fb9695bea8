package berylstandin

import (
	"context"
	"time"

	"berylroad.example/berylroad/internal/berylfake"
)

type serviceOptions struct {
	listenOptions
	WorkTime time.Duration `help:"Time that each request takes." default:"20ms"`
}

// Run runs a plain service stand-in until ctx ends.
func (o *serviceOptions) Run(ctx context.Context, streams Streams) error {
	s, err := berylfake.StartService(o.Listen, berylfake.ServiceOptions{WorkTime: o.WorkTime})
	if err != nil {
		return err
	}
	return serve(ctx, streams, s)
}
