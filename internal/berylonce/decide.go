package berylonce

// claimAction is what a record found under a key means for a request.
type claimAction uint8

const (
	// actionClaim means that this host may claim the key.
	actionClaim claimAction = iota
	// actionReplay means that the record's answer is the answer.
	actionReplay
	// actionRefuseNotKept means that the request is done without a kept answer.
	actionRefuseNotKept
	// actionRefuseInProgress means that the holder is alive.
	actionRefuseInProgress
	// actionRefuseKeyReused means that the key belongs to another request.
	actionRefuseKeyReused
	// actionRefuseUnknown means that a never-repeat request may have run.
	actionRefuseUnknown
	// actionMarkUnknown is verdictUnknown for a record that does not say so yet.
	actionMarkUnknown
)

// decideClaim decides what a found record means for an intent; neverRan reports whether a claim of this host is known not to
// have run, and alive whether the record's holder may still be running it.
func decideClaim(found record, intent Intent, neverRan bool, alive bool) claimAction {
	switch {
	case found.Caller != intent.Caller || found.Key != intent.Key || found.BodyHash != intent.BodyHash:
		return actionRefuseKeyReused
	case found.State == stateDone:
		return actionReplay
	case found.State == stateNotKept:
		return actionRefuseNotKept
	case found.State == stateFree || neverRan:
		return actionClaim
	case found.State == stateUnknown:
		return actionRefuseUnknown
	case alive:
		return actionRefuseInProgress
	case found.NeverRepeat || intent.NeverRepeat:
		return actionMarkUnknown
	default:
		return actionClaim
	}
}

// endAction is what to do when the end of a run meets another record than the run's own.
type endAction uint8

const (
	// endOverwrite means to write over the record found.
	endOverwrite endAction = iota
	// endAlreadyRecorded means that the record found already says enough.
	endAlreadyRecorded
	// endSuperseded means that another claim of the key counts.
	endSuperseded
)

// decideEnd decides how the end of a run, given as the record to write, goes on when another record was found. The holder
// of a never-repeat request knows better than a host that took it for gone; of two runs of a repeatable request, the
// one that is recorded first counts.
func decideEnd(found, end record) endAction {
	switch {
	case found.Nonce == end.Nonce && found.State == end.State:
		return endAlreadyRecorded
	case found.Nonce == end.Nonce && (found.State == stateUnknown || found.State == stateRunning):
		return endOverwrite
	case found.State == stateFree && found.BodyHash == end.BodyHash && (end.State == stateDone || end.State == stateNotKept):
		return endOverwrite
	default:
		return endSuperseded
	}
}
