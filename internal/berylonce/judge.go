package berylonce

// verdict is what a record found under a key means for a request.
type verdict uint8

const (
	// verdictTake means that this host may claim the key.
	verdictTake verdict = iota
	// verdictReplay means that the record's answer is the answer.
	verdictReplay
	// verdictNotKept means that the request is done without a kept answer.
	verdictNotKept
	// verdictInProgress means that the holder is alive.
	verdictInProgress
	// verdictReused means that the key belongs to another request.
	verdictReused
	// verdictUnknown means that a never-repeat request may have run.
	verdictUnknown
	// verdictMarkUnknown is verdictUnknown for a record that does not say so yet.
	verdictMarkUnknown
)

// judge decides what a found record means for an intent; neverRan reports whether a claim of this host is known not to
// have run, and alive whether the record's holder may still be running it.
func judge(found record, intent Intent, neverRan bool, alive bool) verdict {
	switch {
	case found.Caller != intent.Caller || found.Key != intent.Key || found.Hash != intent.BodyHash:
		return verdictReused
	case found.State == stateDone:
		return verdictReplay
	case found.State == stateNotKept:
		return verdictNotKept
	case found.State == stateFree || neverRan:
		return verdictTake
	case found.State == stateUnknown:
		return verdictUnknown
	case alive:
		return verdictInProgress
	case found.Never || intent.NeverRepeat:
		return verdictMarkUnknown
	default:
		return verdictTake
	}
}

// closing is what to do when the end of a run meets another record than the run's own.
type closing uint8

const (
	// closingOver means to write over the record found.
	closingOver closing = iota
	// closingSettled means that the record found already says enough.
	closingSettled
	// closingLost means that another claim of the key counts.
	closingLost
)

// judgeEnd decides how the end of a run, given as the record to write, goes on when another record was found. The holder
// of a never-repeat request knows better than a host that took it for gone; of two runs of a repeatable request, the
// one that is recorded first counts.
func judgeEnd(found, end record) closing {
	switch {
	case found.Nonce == end.Nonce && found.State == end.State:
		return closingSettled
	case found.Nonce == end.Nonce && (found.State == stateUnknown || found.State == stateRunning):
		return closingOver
	case found.State == stateFree && found.Hash == end.Hash && (end.State == stateDone || end.State == stateNotKept):
		return closingOver
	default:
		return closingLost
	}
}
