package berylroute

// CopyState says how far a host's copy of the operators' configuration can be relied on.
type CopyState struct {
	// Through is the store's revision up to which the copy holds all changes.
	Through int64
	// Stale is set if the copy may lack changes: nothing was heard of the store for longer than if it were in reach, or the newest
	// version can't be decoded.
	Stale bool
}

// Copy is a host's copy of the operators' configuration at one moment.
type Copy struct {
	// Config is the configuration, or nil if there is none yet.
	Config *Config
	CopyState
	// inUse is the latest version that another host is known to have used.
	inUse Acceptance
}

// Acceptance says which configuration a piece of work was accepted under.
type Acceptance struct {
	// Version is the configuration's version, or zero if it is not known.
	Version int64
	// Revision is a store revision at which that configuration was in the store already.
	Revision int64
}

// Covers reports whether the copy is at least as new as the configuration of an acceptance. If it is not, a route that the copy
// lacks, a retention that is over or attempts that are used up say nothing about that work.
func (c Copy) Covers(accepted Acceptance) bool {
	return c.Config != nil && (accepted.Version > 0 && c.Config.Version >= accepted.Version || c.Through >= accepted.Revision)
}

// Outdated reports whether a newer configuration may be in force: the copy is stale, or another host uses a newer one.
func (c Copy) Outdated() bool {
	return c.Config == nil || c.Stale || !c.Covers(c.inUse)
}
