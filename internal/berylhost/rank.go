package berylhost

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// score returns a member's weight for a key in rendezvous hashing (Thaler and Ravishankar, 1998).
func score(keyHash uint64, name string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(keyHash)
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Rank returns the members in rendezvous order for the key, with the members of the region before all others.
func Rank(key string, live []Member, region string) []Member {
	keyHash := xxhash.Sum64String(key)
	ranked := slices.Clone(live)
	slices.SortFunc(ranked, func(a, b Member) int {
		return compareForKey(keyHash, region, &a, &b)
	})
	return ranked
}

// First returns the first member of Rank without building the whole list. It returns false when there are no members.
func First(key string, live []Member, region string) (Member, bool) {
	if len(live) == 0 {
		return Member{}, false
	}
	keyHash := xxhash.Sum64String(key)
	best := &live[0]
	for i := range live[1:] {
		if m := &live[i+1]; compareForKey(keyHash, region, m, best) < 0 {
			best = m
		}
	}
	return *best, true
}

// compareForKey compares two members for a key. The member with the higher rank sorts first.
func compareForKey(keyHash uint64, region string, a, b *Member) int {
	if inRegion := a.Region == region; inRegion != (b.Region == region) {
		if inRegion {
			return -1
		}
		return 1
	}
	if c := cmp.Compare(score(keyHash, b.Name), score(keyHash, a.Name)); c != 0 {
		return c
	}
	return cmp.Compare(a.Name, b.Name)
}
