package berylstore

import (
	"runtime"
	"testing"

	"github.com/matryer/is"
)

// heapAfter returns the live heap in bytes.
func heapAfter() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against memory that grows with each change of a large configuration, and against a history that no longer knows what it
// has dropped.
func TestHistoryOfLargeChangesIsBounded(t *testing.T) {
	is := is.New(t)
	const changes, valueBytes = 600, 1 << 20
	before := heapAfter()
	var h eventHistory
	h.reset(1)
	for revision := int64(2); revision < 2+changes; revision++ {
		h.add([]Event{{Item: Item{Key: "op/config", Value: make([]byte, valueBytes), Revision: revision}}}, revision)
	}
	is.True(heapAfter() < before+(8<<20))
	last, asOf, complete, _ := h.since(changes)
	is.True(complete)
	is.Equal(asOf, int64(changes+1))
	is.Equal(len(last), 1)
	is.Equal(last[0].Revision, int64(changes+1))
	_, _, complete, _ = h.since(changes - 10)
	is.True(!complete)

	h.add([]Event{{Item: Item{Key: "op/config", Value: make([]byte, 3*maxRecentBytes), Revision: 1000}}}, 1000)
	last, _, complete, _ = h.since(changes + 1)
	is.True(complete) // the last change is kept whatever its size
	is.Equal(len(last), 1)
}
