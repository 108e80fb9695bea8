package berylversion

import "time"

const (
	// originTTL is how long the origin of a stream is kept. It must be longer than callers' deadlines.
	originTTL = 30 * time.Second
	// maxOrigins bounds the origins that a host keeps.
	maxOrigins = 1 << 15
)

// Origin is where a stream began.
type Origin struct {
	// Service is the service, and Version the software version, of the upstream that began the stream.
	Service string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
}

// origins keeps the origins of streams by the IDs of their attempts, for originTTL. Its zero value is ready to use.
type origins struct {
	byID map[string]Origin
	// order lists the IDs by the time at which they were added.
	order []originEntry
}

type originEntry struct {
	id      string
	addedAt time.Time
}

func (o *origins) add(now time.Time, id string, origin Origin) {
	if o.byID == nil {
		o.byID = make(map[string]Origin)
	}
	o.expire(now)
	if _, known := o.byID[id]; known {
		return // an attempt has one origin; a second one is another caller's with the same ID
	}
	o.byID[id] = origin
	o.order = append(o.order, originEntry{id, now})
}

func (o *origins) get(now time.Time, id string) (Origin, bool) {
	o.expire(now)
	origin, known := o.byID[id]
	return origin, known
}

func (o *origins) expire(now time.Time) {
	for len(o.order) > 0 && (now.Sub(o.order[0].addedAt) > originTTL || len(o.order) >= maxOrigins) {
		delete(o.byID, o.order[0].id)
		o.order = o.order[1:]
	}
}
