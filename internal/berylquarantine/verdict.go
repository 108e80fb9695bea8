package berylquarantine

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// maxVerdicts bounds the verdicts in force. Further ones are not passed until operators have looked at these.
	maxVerdicts = 256
	// verdictLifetime is how long a verdict holds after it was passed or last tried. Evidence is gathered anew then.
	verdictLifetime = 24 * time.Hour
)

// The delays are the times from the verdict to the first trial and from one trial to the next. A trial sends one request with
// the parts; if an upstream begins to answer it, the verdict is lifted. After the last one only operators lift it.
var (
	// requestTrialDelays are those by online requests, whose callers are refused meanwhile.
	requestTrialDelays = []time.Duration{30 * time.Second, 5 * time.Minute}
	// partTrialDelays are those by items. Operators expect an accepted item to be run within 18 s after callers have stopped to send,
	// so that the first trial has to leave time for the items that it frees.
	partTrialDelays = []time.Duration{8 * time.Second, 8 * time.Second, 5 * time.Minute}
	// itemTrialDelays are those by the item that alone is held. Operators expect an item to be run again within 20 s after it has failed.
	itemTrialDelays = []time.Duration{15 * time.Second, 15 * time.Second, 5 * time.Minute}
)

// Verdict is the decision that prompts which hold all of the given parts are not sent to upstreams.
type Verdict struct {
	// Parts are IDs of prompt parts and the key of an item, if only that item is held, sorted; or one key of a request.
	Parts []string `cbor:"1,keyasint" json:"parts"`
	// Host is the host that decided.
	Host string `cbor:"2,keyasint" json:"host"`
	// DecidedAtMillis is when the verdict was passed or last tried, in milliseconds of Unix time.
	DecidedAtMillis int64 `cbor:"3,keyasint" json:"decided-at-ms"`
	// Crashes are the upstreams whose crashes decided it.
	Crashes []string `cbor:"4,keyasint,omitempty" json:"crashes"`
	// Trials counts the trials so far.
	Trials int `cbor:"5,keyasint,omitempty" json:"trials"`
}

// Key returns a short name that is the same for the same parts.
func (v *Verdict) Key() string {
	return strconv.FormatUint(xxhash.Sum64String(strings.Join(v.Parts, ",")), 16)
}

// check returns an error for a verdict that no host can have passed.
func (v *Verdict) check() error {
	if len(v.Parts) == 0 || v.Trials < 0 || !slices.IsSorted(v.Parts) {
		return errors.Newf("a verdict has sorted parts and a number of trials, not %q and %d", v.Parts, v.Trials)
	}
	return nil
}

func (v *Verdict) expired(now time.Time) bool {
	return now.Sub(time.UnixMilli(v.DecidedAtMillis)) > verdictLifetime
}

// covers reports whether a prompt with these parts holds all parts of the verdict.
func (v *Verdict) covers(parts []string) bool {
	return !slices.ContainsFunc(v.Parts, func(p string) bool { return !slices.Contains(parts, p) })
}

// item returns the key of the item that alone is held, or an empty string.
func (v *Verdict) item() string {
	if i := slices.IndexFunc(v.Parts, isItem); i >= 0 {
		return v.Parts[i]
	}
	return ""
}

// isClearedBy reports whether all shared parts of the verdict are among the parts of a prompt that an upstream has begun to answer.
func (v *Verdict) isClearedBy(parts []string) bool {
	return !slices.ContainsFunc(v.Parts, func(p string) bool { return !isItem(p) && !slices.Contains(parts, p) })
}

// indexPart returns the part under which the verdict is found: the first one that is no item's key, unless there is none.
func (v *Verdict) indexPart() string {
	if i := slices.IndexFunc(v.Parts, func(p string) bool { return !isItem(p) }); i >= 0 {
		return v.Parts[i]
	}
	return v.Parts[0]
}

// heldVerdict is a verdict in force on this host.
type heldVerdict struct {
	Verdict
	// revision is the revision of its item in the store, or zero if this host has not seen it there.
	revision int64
	// knownSince is when this host learned of the verdict, or of its last trial.
	knownSince time.Time
	// claimedAt is when this host last tried to claim a trial.
	claimedAt time.Time
	// trialItem is the item that this host has sent as the last trial, until it tries to claim another one, and isOpen is set if that item was not run, so that another
	// prompt may be sent under the same claim.
	trialItem string
	isOpen    bool
}

// trialDue returns when a prompt may be sent as a trial, and false if there are no more trials. The store must hold the
// verdict, since it decides which host sends the trial.
func (v *heldVerdict) trialDue(prompt Prompt) (time.Time, bool) {
	delays := requestTrialDelays
	switch {
	case v.item() != "":
		delays = itemTrialDelays
	case prompt.Item != "":
		delays = partTrialDelays
	}
	if v.Trials >= len(delays) {
		return time.Time{}, false
	}
	return v.knownSince.Add(delays[v.Trials]), true
}

// verdicts holds the verdicts in force by their keys, and by one of their parts.
type verdicts struct {
	byKey  map[string]*heldVerdict
	byPart map[string][]*heldVerdict
	// count is the number of verdicts; it may be read without the lock that guards the maps.
	count atomic.Int64
}

// match returns the verdict that covers a prompt with these parts, or nil. Of several it returns the one with the fewest parts:
// its trials count for the others, too.
func (s *verdicts) match(parts []string) *heldVerdict {
	var best *heldVerdict
	for _, part := range parts {
		for _, v := range s.byPart[part] {
			if v.covers(parts) && (best == nil || len(v.Parts) < len(best.Parts)) {
				best = v
			}
		}
	}
	return best
}

// clearedBy returns a verdict that no longer holds because an upstream has begun to answer a prompt with these parts, or nil.
func (s *verdicts) clearedBy(parts []string) *heldVerdict {
	for _, part := range parts {
		for _, v := range s.byPart[part] {
			if v.isClearedBy(parts) {
				return v
			}
		}
	}
	return nil
}

// trialsOf returns how many trials there were of verdicts that hold all of these parts.
func (s *verdicts) trialsOf(parts []string) int {
	trials := 0
	narrower := Verdict{Parts: parts}
	for _, v := range s.byKey {
		if narrower.covers(v.Parts) {
			trials = max(trials, v.Trials)
		}
	}
	return trials
}

// put adds a verdict, or brings the known one up to date, and reports whether it was added. A verdict above maxVerdicts is
// left out.
func (s *verdicts) put(v Verdict, revision int64, now time.Time) bool {
	key := v.Key()
	if held := s.byKey[key]; held != nil {
		held.update(v, revision, now)
		return false
	}
	if len(s.byKey) >= maxVerdicts {
		return false
	}
	if s.byKey == nil {
		s.byKey, s.byPart = make(map[string]*heldVerdict), make(map[string][]*heldVerdict)
	}
	held := &heldVerdict{Verdict: v, revision: revision, knownSince: now}
	s.byKey[key] = held
	part := v.indexPart()
	s.byPart[part] = append(s.byPart[part], held)
	s.count.Store(int64(len(s.byKey)))
	return true
}

// update takes over a later state of the verdict. Messages may be older than what the store holds.
func (v *heldVerdict) update(newer Verdict, revision int64, now time.Time) {
	v.revision = max(v.revision, revision)
	if newer.Trials > v.Trials {
		v.Verdict, v.knownSince = newer, now
		v.trialItem, v.isOpen = "", false
	}
}

// remove removes a verdict and reports whether it was there.
func (s *verdicts) remove(key string) bool {
	held := s.byKey[key]
	if held == nil {
		return false
	}
	delete(s.byKey, key)
	s.count.Store(int64(len(s.byKey)))
	part := held.indexPart()
	s.byPart[part] = slices.DeleteFunc(s.byPart[part], func(v *heldVerdict) bool { return v == held })
	if len(s.byPart[part]) == 0 {
		delete(s.byPart, part)
	}
	return true
}

// list returns the verdicts sorted by key.
func (s *verdicts) list() []*heldVerdict {
	list := slices.Collect(maps.Values(s.byKey))
	slices.SortFunc(list, func(a, b *heldVerdict) int { return strings.Compare(a.Key(), b.Key()) })
	return list
}
