package berylsched

import "berylroad.example/berylroad/internal/berylpermit"

// recentIDCount is the number of IDs that are kept.
const recentIDCount = 4096

// recentIDs is a set of the IDs added last, to recognize late and duplicate messages. The zero value is empty.
type recentIDs struct {
	// ring holds the IDs in the order of their addition. Once it is full, next is the index of the oldest ID, which
	// the next addition overwrites.
	ring []berylpermit.ID
	next int
	set  map[berylpermit.ID]struct{}
}

func (r *recentIDs) has(id berylpermit.ID) bool {
	_, ok := r.set[id]
	return ok
}

func (r *recentIDs) add(id berylpermit.ID) {
	if r.has(id) {
		return
	}
	if r.set == nil {
		r.set = make(map[berylpermit.ID]struct{})
	}
	r.set[id] = struct{}{}
	if len(r.ring) < recentIDCount {
		r.ring = append(r.ring, id)
		return
	}
	delete(r.set, r.ring[r.next])
	r.ring[r.next] = id
	r.next = (r.next + 1) % recentIDCount
}
