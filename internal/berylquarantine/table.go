package berylquarantine

import (
	"slices"
	"time"
)

const (
	// crashesForVerdict is how many crashes in a row a part must have been part of. A part that upstreams can answer would
	// have to be in the wrong place as often, without one answer in between.
	crashesForVerdict = 3
	// crashesSinceAnswer is how many of an item's crashes must have come since its part was last answered for the item to be held.
	crashesSinceAnswer = 2
	// overlappingCrashesForVerdict is how many crashes are enough if only two of them are in a row: where prompts with the part
	// come at a high rate, most of them are sent before the crash of another one is known.
	overlappingCrashesForVerdict = 6
	// beginsForVerdict is how many other prompts upstreams must have begun to answer since the first of these crashes.
	// Without it, a service whose upstreams all crash would have every part of its prompts quarantined.
	beginsForVerdict = 3
	// evidenceLifetime is how long a crash counts against a part, requestEvidenceLifetime how long against a request, which may
	// come again rarely.
	evidenceLifetime        = 5 * time.Minute
	requestEvidenceLifetime = time.Hour
	// crashShareDivisor is the inverse of the share of all crashes since then that the part must have been part of. Where
	// upstreams also end for other causes, a part that is in some of the crashes is not the cause. One in eight leaves room for
	// several parts at once.
	crashShareDivisor = 8
	// maxCrashes bounds the crashes that are remembered.
	maxCrashes = 256
	// maxAccusations bounds the crashes that are kept for one part. The last ones must reach back over crashesForVerdict in a
	// row, also at tens of crashes a second.
	maxAccusations = 32
	// maxSuspects bounds the parts that have accusations. The one that was accused least recently is dropped first.
	maxSuspects = 1024
	// maxBegun bounds the parts in each of the two generations of the record of begun answers.
	maxBegun = 4096
)

// Break is one call that broke off in the crash of its upstream, before the upstream had begun to answer.
type Break struct {
	// Crash identifies the crash: it names the run of the upstream that crashed.
	Crash string
	// Prompt is what was sent.
	Prompt Prompt
	// SentAt is when the call was sent, BrokeAt when it broke off.
	SentAt, BrokeAt time.Time
}

// accusation is one crash that counts against a part.
type accusation struct {
	crash           string
	sentAt, brokeAt time.Time
}

// crash is one crash of an upstream.
type crash struct {
	id string
	at time.Time
}

// Table weighs which prompt parts crash upstreams. Its zero value has no evidence.
type Table struct {
	// suspects holds the accusations of parts, in order of time. A part leaves it as soon as an answer to it has begun.
	suspects map[string][]accusation
	begun    beginTimes
	// crashes are the last crashes that this host has heard of, in the order in which it heard of them.
	crashes []crash
	// lastBegins holds the times of the last begun answers of each service, whatever their prompts.
	lastBegins map[string][]time.Time
}

// RecordBegin records that an upstream of the service has begun to answer a prompt. That clears its parts of all crashes
// before, but not the request: an upstream that crashes on it may have begun.
func (t *Table) RecordBegin(now time.Time, service string, prompt Prompt) {
	if t.lastBegins == nil {
		t.lastBegins = make(map[string][]time.Time)
	}
	last := append(t.lastBegins[service], now)
	t.lastBegins[service] = last[max(len(last)-beginsForVerdict, 0):]
	for _, part := range prompt.Parts {
		t.clear(part, now)
	}
	if len(t.suspects[prompt.Item]) > 0 {
		t.clear(prompt.Item, now)
	}
}

// RecordSound records that an upstream has answered a request without a crash. That clears it of all crashes before.
func (t *Table) RecordSound(now time.Time, prompt Prompt) {
	for _, key := range prompt.Requests {
		if len(t.suspects[key]) > 0 {
			t.clear(key, now)
		}
	}
}

// clear records that an answer to the part had begun at the given time.
func (t *Table) clear(part string, at time.Time) {
	t.begun.record(part, at)
	kept := slices.DeleteFunc(t.suspects[part], func(a accusation) bool { return !a.brokeAt.After(at) })
	t.setAccusations(part, kept)
}

// RecordBreak counts a crash against the parts of a call.
func (t *Table) RecordBreak(b Break) {
	for _, part := range b.Prompt.keys() {
		t.accuse(part, accusation{crash: b.Crash, sentAt: b.SentAt, brokeAt: b.BrokeAt})
	}
}

// accuse adds an accusation unless the crash is known or the part has been answered since.
func (t *Table) accuse(part string, a accusation) {
	t.recordCrash(crash{id: a.crash, at: a.brokeAt})
	if !a.brokeAt.After(t.begun.last(part)) {
		return
	}
	list := t.suspects[part]
	if slices.ContainsFunc(list, func(known accusation) bool { return known.crash == a.crash }) {
		return
	}
	list = append(slices.Clone(list), a)
	slices.SortFunc(list, func(a, b accusation) int { return a.brokeAt.Compare(b.brokeAt) })
	t.setAccusations(part, list[max(len(list)-maxAccusations, 0):])
}

func (t *Table) recordCrash(c crash) {
	if slices.ContainsFunc(t.crashes, func(known crash) bool { return known.id == c.id }) {
		return
	}
	t.crashes = append(t.crashes, c)
	t.crashes = t.crashes[max(len(t.crashes)-maxCrashes, 0):]
}

// crashesSince counts the crashes at or after a time.
func (t *Table) crashesSince(at time.Time) int {
	n := 0
	for _, c := range t.crashes {
		if !c.at.Before(at) {
			n++
		}
	}
	return n
}

func (t *Table) setAccusations(part string, list []accusation) {
	if len(list) == 0 {
		delete(t.suspects, part)
		return
	}
	if t.suspects == nil {
		t.suspects = make(map[string][]accusation)
	}
	t.suspects[part] = list
	if len(t.suspects) > maxSuspects {
		t.dropOldestSuspect()
	}
}

func (t *Table) dropOldestSuspect() {
	oldest, at := "", time.Time{}
	for part, list := range t.suspects {
		if last := list[len(list)-1].brokeAt; oldest == "" || last.Before(at) {
			oldest, at = part, last
		}
	}
	delete(t.suspects, oldest)
}

// CrashingParts returns the keys of a broken call's prompt that must not be sent together again, sorted, or nil if the evidence is
// not enough. begins are the times of begun answers of the same service on all hosts.
//
// If the evidence holds against several parts, it does not hold against one of them alone: prompts that hold only some of them may be sent,
// and either clear these parts or accuse them further. Nor does it hold against a part alone if all crashes were those of one item, whose
// key is returned with it: other items may be sent. If it holds against the request itself, its widest key is returned alone: the
// request may come again without its parts and from another address.
func (t *Table) CrashingParts(now time.Time, b Break, begins []time.Time) []string {
	for _, key := range b.Prompt.Requests {
		if t.isCrashing(now, key, begins) {
			return []string{key}
		}
	}
	var crashing []string
	item, byItemAlone := b.Prompt.Item, false
	isItemCrashing := item != "" && t.isCrashing(now, item, begins)
	for _, part := range b.Prompt.Parts {
		if slices.Contains(crashing, part) {
			continue
		}
		alone := item != "" && t.isAccusedByItemAlone(part, item)
		_, inARow := t.crashesInARow(now, part)
		if t.isCrashing(now, part, begins) || alone && isItemCrashing && inARow >= crashesSinceAnswer {
			crashing = append(crashing, part)
			byItemAlone = byItemAlone || alone
		}
	}
	if byItemAlone {
		crashing = append(crashing, item)
	}
	slices.Sort(crashing)
	return crashing
}

// isAccusedByItemAlone reports whether all crashes that count against a part have hit calls of one item.
func (t *Table) isAccusedByItemAlone(part, item string) bool {
	return !slices.ContainsFunc(t.suspects[part], func(a accusation) bool {
		return !slices.ContainsFunc(t.suspects[item], func(own accusation) bool { return own.crash == a.crash })
	})
}

func (t *Table) isCrashing(now time.Time, part string, begins []time.Time) bool {
	first, inARow := t.crashesInARow(now, part)
	crashes := len(t.suspects[part])
	isEnough := inARow >= crashesForVerdict || inARow >= 2 && crashes >= overlappingCrashesForVerdict
	if isEnough && isRequest(part) {
		// A request that crashes upstreams is one among many, and may be the only one that comes. A sound one would have been in the
		// wrong place each time that it came.
		return true
	}
	if !isEnough || crashes*crashShareDivisor < t.crashesSince(first) {
		return false
	}
	answered := 0
	for _, at := range begins {
		if at.After(first) {
			answered++
		}
	}
	return answered >= beginsForVerdict
}

// crashesInARow counts the crashes of a part, and returns when the first of them was. Crashes at the same time count once, as
// they may have another common cause: each must have hit a call that was sent no earlier than
// the one before.
func (t *Table) crashesInARow(now time.Time, part string) (first time.Time, count int) {
	var last time.Time
	lifetime := evidenceLifetime
	if isRequest(part) {
		lifetime = requestEvidenceLifetime
	}
	for _, a := range t.suspects[part] {
		if now.Sub(a.brokeAt) > lifetime || a.sentAt.Before(last) {
			continue
		}
		if count == 0 {
			first = a.brokeAt
		}
		last = a.brokeAt
		count++
	}
	return first, count
}

// Evidence returns what this host knows of the parts of a service's prompts.
func (t *Table) Evidence(now time.Time, service string, parts []string) Evidence {
	var e Evidence
	for _, part := range parts {
		p := PartEvidence{Part: part}
		if at := t.begun.last(part); !at.IsZero() {
			p.Begun, p.SinceBegun = true, now.Sub(at)
		}
		for _, a := range t.suspects[part] {
			p.Accusations = append(p.Accusations, Accusation{Crash: a.crash, SinceSent: now.Sub(a.sentAt), SinceBroke: now.Sub(a.brokeAt)})
		}
		if p.Begun || len(p.Accusations) > 0 {
			e.Parts = append(e.Parts, p)
		}
	}
	for _, at := range t.lastBegins[service] {
		e.SinceBegins = append(e.SinceBegins, now.Sub(at))
	}
	return e
}

// Merge adds what another host knows of parts.
func (t *Table) Merge(now time.Time, e Evidence) {
	for _, p := range e.Parts {
		if p.Begun {
			t.clear(p.Part, now.Add(-max(p.SinceBegun, 0)))
		}
		for _, a := range p.Accusations {
			t.accuse(p.Part, accusation{crash: a.Crash, sentAt: now.Add(-max(a.SinceSent, 0)), brokeAt: now.Add(-max(a.SinceBroke, 0))})
		}
	}
}

// beginTimes remembers when answers to parts had begun last. It forgets the parts that were not answered for the longest time.
type beginTimes struct {
	current, previous map[string]time.Time
}

func (b *beginTimes) record(part string, at time.Time) {
	if !at.After(b.last(part)) {
		return
	}
	if b.current == nil || len(b.current) >= maxBegun {
		b.previous, b.current = b.current, make(map[string]time.Time)
	}
	b.current[part] = at
}

// last returns when an answer to the part had begun, or the zero time if that is not known.
func (b *beginTimes) last(part string) time.Time {
	if at, known := b.current[part]; known {
		return at
	}
	return b.previous[part]
}

// Forget drops all accusations of parts.
func (t *Table) Forget(parts []string) {
	for _, part := range parts {
		delete(t.suspects, part)
	}
}

// crashesOf returns the crashes that count against the first of the parts.
func (t *Table) crashesOf(parts []string) []string {
	var crashes []string
	for _, a := range t.suspects[parts[0]] {
		crashes = append(crashes, a.crash)
	}
	return crashes
}
