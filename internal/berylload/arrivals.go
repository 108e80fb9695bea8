package berylload

import (
	"math/rand/v2"
	"time"
)

// Stream is a kind of request with Poisson arrivals.
type Stream struct {
	// Name identifies the stream in results. The random arrival times depend on it, so it must be unique in a variant.
	Name string `json:"name"`
	// Rate is the mean number of arrivals per second.
	Rate float64 `json:"rate"`
	// Tokens is the length of each answer in tokens.
	Tokens int `json:"tokens"`
}

// arrivals returns the intended start times of the requests, a Poisson process, as offsets from the start of the run.
func (s Stream) arrivals(seed uint64, duration time.Duration) []time.Duration {
	random := rand.New(rand.NewPCG(seed, hashName(s.Name)))
	var offsets []time.Duration
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second))
		if at >= duration {
			return offsets
		}
		offsets = append(offsets, at)
	}
}

// hashName returns the FNV-1a hash of a stream's name. It is part of the random seed, so that streams of one run get
// different arrivals.
func hashName(name string) uint64 {
	const prime = 1099511628211
	hash := uint64(14695981039346656037)
	for i := range len(name) {
		hash = (hash ^ uint64(name[i])) * prime
	}
	return hash
}
