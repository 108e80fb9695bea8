package berylsched

import "berylroad.example/berylroad/internal/berylpermit"

// recentSize is how many IDs are remembered.
const recentSize = 4096

// recent remembers the last IDs added, so that late or doubled messages are recognized; the zero value is empty.
type recent struct {
	ring []berylpermit.ID
	next int
	set  map[berylpermit.ID]struct{}
}

func (r *recent) has(id berylpermit.ID) bool {
	_, ok := r.set[id]
	return ok
}

func (r *recent) add(id berylpermit.ID) {
	if r.has(id) {
		return
	}
	if r.set == nil {
		r.set = make(map[berylpermit.ID]struct{})
	}
	r.set[id] = struct{}{}
	if len(r.ring) < recentSize {
		r.ring = append(r.ring, id)
		return
	}
	delete(r.set, r.ring[r.next])
	r.ring[r.next] = id
	r.next = (r.next + 1) % recentSize
}
