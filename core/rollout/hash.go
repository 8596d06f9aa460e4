package rollout

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// weigh returns the weight of a candidate for a key. The lowest weight comes first (rendezvous hashing).
func weigh(key, candidate string) uint64 { return xxhash.Sum64String(key + "\x00" + candidate) }

// rank returns the number of candidates that come before own for a key.
func rank(candidates []string, key, own string) int {
	weight, before := weigh(key, own), 0
	for _, candidate := range candidates {
		if cmp.Or(cmp.Compare(weigh(key, candidate), weight), cmp.Compare(candidate, own)) < 0 {
			before++
		}
	}
	return before
}

// first returns the n candidates that come first for a key.
func first(candidates []string, key string, n int) []string {
	sorted := slices.SortedFunc(slices.Values(candidates), func(a, b string) int {
		return cmp.Or(cmp.Compare(weigh(key, a), weigh(key, b)), cmp.Compare(a, b))
	})
	return sorted[:min(n, len(sorted))]
}

// place returns a number in [0, 1) that differs evenly among the members, for a key.
func place(members []string, key, own string) float64 {
	index, found := slices.BinarySearch(members, own)
	if !found {
		return 0
	}
	turn := weigh(key, "") % uint64(len(members))
	return (float64((uint64(index)+turn)%uint64(len(members))) + 0.5) / float64(len(members))
}
