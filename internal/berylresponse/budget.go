package berylresponse

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// FreeBytes is how much of a response is held without a reservation. It belongs to what a call holds anyway, such as the buffers of its
	// connections.
	FreeBytes = 16 << 10
	// firstBufferBytes is the first capacity of a buffer.
	firstBufferBytes = 4 << 10
)

// ErrNoRoom is the error of a buffer that can't grow because its budget is used up.
var ErrNoRoom = errors.New("no memory is left to hold more of the response")

// Budget bounds the bytes of responses that a process holds beyond FreeBytes each. A nil budget has no bound.
type Budget struct {
	// Limit is the bound in bytes; zero means no bound.
	Limit int64

	held atomic.Int64
}

// NewReservation returns a reservation for one buffer, of nothing yet.
func (b *Budget) NewReservation() *Reservation {
	return &Reservation{budget: b}
}

// Held returns how many bytes are reserved.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	return b.held.Load()
}

// Reservation is the part of a budget that one buffer takes. A nil reservation has no bound. It is used by one goroutine.
type Reservation struct {
	budget *Budget
	bytes  int64
}

// Grow returns the buffer with room for one byte more at least. It doubles the capacity up to limit, which must be larger than the length
// of the buffer, and reserves the new capacity first. It fails with ErrNoRoom, and returns the buffer as it was, if there is no room.
func (r *Reservation) Grow(buffer []byte, limit int) ([]byte, error) {
	if len(buffer) < cap(buffer) {
		return buffer, nil
	}
	capacity := min(max(2*cap(buffer), firstBufferBytes), limit)
	if !r.Cover(capacity) {
		return buffer, ErrNoRoom
	}
	return append(make([]byte, 0, capacity), buffer...), nil
}

// Append appends to the buffer like Grow, in several steps if need be. The buffer must not become longer than limit.
func (r *Reservation) Append(buffer, data []byte, limit int) ([]byte, error) {
	for len(data) > 0 {
		grown, err := r.Grow(buffer, limit)
		if err != nil {
			return buffer, err
		}
		n := min(len(data), cap(grown)-len(grown))
		buffer, data = append(grown, data[:n]...), data[n:]
	}
	return buffer, nil
}

// Cover reserves what a buffer of the given capacity takes, and reports whether there is room for it.
func (r *Reservation) Cover(capacity int) bool {
	if r == nil || r.budget == nil || r.budget.Limit <= 0 {
		return true
	}
	more := int64(capacity-FreeBytes) - r.bytes
	if more <= 0 {
		return true
	}
	if r.budget.held.Add(more) > r.budget.Limit {
		r.budget.held.Add(-more)
		return false
	}
	r.bytes += more
	return true
}

// Release returns what is reserved. The buffer must not be used any more, or be counted elsewhere.
func (r *Reservation) Release() {
	if r != nil && r.bytes > 0 {
		r.budget.held.Add(-r.bytes)
		r.bytes = 0
	}
}
