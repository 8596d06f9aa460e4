package quarantine

import (
	"math/rand/v2"
	"slices"
	"time"
)

// endsPerGroup is the number of a quarantined group's ends that are sent first. It is enough for the verdict of a peer,
// and leaves room for ends of other parts.
const endsPerGroup = 8

// Evidence returns up to maxEnds ends and maxClearances clearances to send to a peer: ends of suspects first, then the
// latest ones. The choice among equals is random, because a fixed one would never send the rest. Ends without parts are
// not sent.
func (r *Register) Evidence(maxEnds, maxClearances int) Evidence {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return Evidence{Ends: r.endsToSend(maxEnds, now), Clearances: r.clearances.latest(maxClearances, now)}
}

func (r *Register) endsToSend(n int, now time.Time) []End {
	first, rest := map[*end]bool{}, map[*end]bool{}
	for _, g := range r.groups {
		list := slices.Clone(g.ends[:len(g.ends)-1])
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		first[g.ends[len(g.ends)-1]] = true
		for i, e := range list {
			if i < endsPerGroup {
				first[e] = true
			} else {
				rest[e] = true
			}
		}
	}
	var ranked [4][]*end
	for _, e := range r.ends.list {
		switch {
		case len(e.parts) == 0 || now.Sub(e.at) > evidenceExpiry:
		case first[e]:
			ranked[0] = append(ranked[0], e)
		case rest[e]:
			ranked[3] = append(ranked[3], e)
		case r.ends.repeated(e):
			ranked[1] = append(ranked[1], e)
		default:
			ranked[2] = append(ranked[2], e)
		}
	}
	var list []End
	for i, rank := range ranked {
		if i != 2 {
			rand.Shuffle(len(rank), func(i, j int) { rank[i], rank[j] = rank[j], rank[i] })
		} else {
			slices.Reverse(rank)
		}
		for _, e := range rank[:min(len(rank), max(n-len(list), 0))] {
			list = append(list, End{Endpoint: e.endpoint, Parts: slices.Clone(e.parts), Age: now.Sub(e.at)})
		}
	}
	return list
}

// latest returns up to n clearances of parts that an end contained, the latest first.
func (c *clearances) latest(n int, now time.Time) []Clearance {
	list := make([]Clearance, 0, len(c.cleared))
	for p, at := range c.cleared {
		if age := now.Sub(at); age <= evidenceExpiry {
			list = append(list, Clearance{Part: p, Age: age})
		}
	}
	slices.SortFunc(list, func(a, b Clearance) int { return int(a.Age - b.Age) })
	return list[:min(n, len(list))]
}
