package route

import (
	"cmp"
	"slices"
	"time"
)

// CacheCandidates returns the addresses of the endpoints that most likely have the prompt of the affinity key in their cache:
// the first n in the order in which all daemons select endpoints for the key, whatever their load, and the first of each
// place, to which a run or its KV cache copy goes when the place of the first ones has failed.
func (t *Table) CacheCandidates(criteria Criteria, n int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	pool, _ := t.eligiblePool(criteria, time.Now())
	pool = slices.Clone(pool)
	slices.SortFunc(pool, func(a, b *endpoint) int {
		return cmp.Compare(rendezvousHash(criteria.AffinityKey, b), rendezvousHash(criteria.AffinityKey, a))
	})
	var addresses []string
	inPlace := map[string]int{}
	for i, e := range pool {
		if i < n || inPlace[e.listing.Place] < candidatesPerPlace {
			addresses = append(addresses, e.listing.Address)
		}
		inPlace[e.listing.Place]++
	}
	return addresses
}

// candidatesPerPlace is the number of candidates of each place: the first one may be excluded as the source of the copy, or
// may be as loaded as to be passed over.
const candidatesPerPlace = 2
