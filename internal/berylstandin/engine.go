package berylstandin

import (
	"context"
	"time"

	"berylroad.example/berylroad/internal/berylfake"
)

type engineOptions struct {
	listenOptions
	Model             []string      `help:"Model to serve; may be given more than once. Without it any model is served."`
	TokenTime         time.Duration `help:"Time for one token when nothing else runs." default:"20ms"`
	BatchGrowth       float64       `help:"Share of the token time that each further run adds to it." default:"0.05"`
	PrefillTime       time.Duration `help:"Time before the first token." default:"100ms"`
	CachedPrefillTime time.Duration `help:"Time before the first token when the prompt's prefix is cached." default:"20ms"`
	CachedPrefixes    int           `help:"Prefixes that the cache holds." default:"64"`
	LoadLag           time.Duration `help:"How late the reported load is." default:"2s"`
	Resume            bool          `help:"Honour the request field continue_from."`
}

// Run runs an engine stand-in until ctx ends.
func (o *engineOptions) Run(ctx context.Context, streams Streams) error {
	e, err := berylfake.StartEngine(o.Listen, berylfake.EngineOptions{
		Models:            o.Model,
		TokenTime:         o.TokenTime,
		BatchGrowth:       o.BatchGrowth,
		PrefillTime:       o.PrefillTime,
		CachedPrefillTime: o.CachedPrefillTime,
		CachedPrefixes:    o.CachedPrefixes,
		LoadLag:           o.LoadLag,
		Resume:            o.Resume,
	})
	if err != nil {
		return err
	}
	return serve(ctx, streams, e)
}
