package berylstandin

import (
	"context"
	"time"

	"berylroad.example/berylroad/internal/berylfake"
)

type hostsOptions struct {
	listenOptions
	Lag time.Duration `help:"How much later than made a change of the list is shown." default:"2s"`
}

// Run runs a host list stand-in until ctx ends.
func (o *hostsOptions) Run(ctx context.Context, streams Streams) error {
	l, err := berylfake.StartHostList(o.Listen)
	if err != nil {
		return err
	}
	l.SetLag(o.Lag)
	return serve(ctx, streams, l)
}
