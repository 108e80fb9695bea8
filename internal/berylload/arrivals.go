package berylload

import (
	"math/rand/v2"
	"time"
)

// Stream is one kind of request that arrives at random.
type Stream struct {
	// Name names the stream in results.
	Name string `json:"name"`
	// Rate is the mean number of arrivals a second.
	Rate float64 `json:"rate"`
	// Tokens is the answer's length.
	Tokens int `json:"tokens"`
}

// arrivals returns the intended start times of a Poisson process, as offsets below the duration.
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

// hashName tells the random numbers of streams with one seed apart.
func hashName(name string) uint64 {
	const prime = 1099511628211
	hash := uint64(14695981039346656037)
	for i := range len(name) {
		hash = (hash ^ uint64(name[i])) * prime
	}
	return hash
}
