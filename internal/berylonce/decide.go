package berylonce

// claimAction is what a claim does about the record that it found under its key.
type claimAction uint8

const (
	// actionClaim means to write the claim over the record.
	actionClaim claimAction = iota
	// actionReplay means to return the recorded answer.
	actionReplay
	// actionRefuseNotKept means to refuse the request: it is done, but its answer was too large to be recorded.
	actionRefuseNotKept
	// actionRefuseInProgress means to refuse the request: its holder is alive and may be running it.
	actionRefuseInProgress
	// actionRefuseKeyReused means to refuse the request: the key was used for another request.
	actionRefuseKeyReused
	// actionRefuseUnknown means to refuse the request: it is never-repeat and may have run.
	actionRefuseUnknown
	// actionMarkUnknown means to set the record to stateUnknown first and then to refuse like actionRefuseUnknown.
	actionMarkUnknown
)

// decideClaim returns what a claim does about the record that it found. neverRan reports that the record is this
// claim's own and its request has not run; alive reports whether the record's holder may still be running the request.
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

// finalAction is what a host does when it writes a final record and finds that the key's record has changed.
type finalAction uint8

const (
	// finalOverwrite means to write the final record over it.
	finalOverwrite finalAction = iota
	// finalAlreadyRecorded means that this final record is already stored.
	finalAlreadyRecorded
	// finalSuperseded means that another run's record has replaced the claim and this final record is discarded.
	finalSuperseded
)

// decideFinalRecord returns what to do when a final record is to be written and another record was found. The holder of
// a never-repeat request overwrites a record that another host has set to stateUnknown because it considered the holder
// dead: the holder knows the outcome. Of two runs of a repeatable request, the result recorded first is kept.
func decideFinalRecord(found, final record) finalAction {
	switch {
	case found.Nonce == final.Nonce && found.State == final.State:
		return finalAlreadyRecorded
	case found.Nonce == final.Nonce && (found.State == stateUnknown || found.State == stateRunning):
		return finalOverwrite
	case found.State == stateFree && found.BodyHash == final.BodyHash && (final.State == stateDone || final.State == stateNotKept):
		return finalOverwrite
	default:
		return finalSuperseded
	}
}
