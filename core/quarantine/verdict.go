package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// threshold is the weight of ends from which a part is quarantined. Three ends at different times reach it; those of
	// a single moment never do, however many they are.
	threshold = 2.5
	// momentLength is the time within which ends are of the same moment.
	momentLength = 300 * time.Millisecond
	// maxMomentWeight limits the weight of the ends of one moment, because an outage ends many engines in one.
	maxMomentWeight = 2
	// outageReach is the time before and after a moment in which ends without a part count as signs of an outage.
	outageReach = 500 * time.Millisecond
	// maxSuspects bounds the parts that are looked at, because the time for it grows with their square. A few parts crash
	// engines at a time, and their ends hold a few others.
	maxSuspects = 256
	// sameSetTolerance is the weight of ends by which the sets of two parts of a group may differ. It is less than that of
	// one end that no other end accompanies.
	sameSetTolerance = 0.5
)

// separateThreshold is the weight from which each part of a group is a suspect by itself. Requests with the whole group
// have been refused before, so further ends show that they are not the cause: two parts of different requests may be at
// risk on the same engines.
const separateThreshold = 2 * threshold

// suspect is a group of parts that the ends give reason to quarantine, or did until another one explained them.
type suspect struct {
	*group
	weight float64
	// lastCleared is the last clearance of any of its parts.
	lastCleared time.Time
}

// verdict derives the quarantined groups from the ends.
type verdict struct {
	ends       *ends
	clearances *clearances
	// before holds the groups of the verdict before this one.
	before []*group
	// unexplained holds the times of the ends without a part that has enough ends by number, in ascending order. They are
	// the signs of an outage; those of another such part are not, or two parts at once would hide each other.
	unexplained []time.Time
}

// verdict returns the groups that together explain the ends.
func (s *ends) verdict(c *clearances, before []*group) []*group {
	v := verdict{ends: s, clearances: c, before: before}
	candidates := v.heavy(s.repeatedParts())
	for _, e := range s.list {
		if !slices.ContainsFunc(e.parts, func(p Part) bool { return candidates[p] > 0 }) {
			v.unexplained = append(v.unexplained, e.at)
		}
	}
	return v.explain(v.suspects(v.heavy(slices.Collect(maps.Keys(candidates)))))
}

// repeatedParts returns the parts with enough ends to reach the threshold.
func (s *ends) repeatedParts() []Part {
	var list []Part
	for p, ends := range s.byPart {
		if len(ends) > maxMomentWeight {
			list = append(list, p)
		}
	}
	return list
}

// heavy returns those of the parts that reach the threshold, with their weights.
func (v *verdict) heavy(parts []Part) map[Part]float64 {
	weights := map[Part]float64{}
	for _, p := range parts {
		if w := v.weight(v.ends.byPart[p]); w >= threshold {
			weights[p] = w
		}
	}
	return weights
}

// suspects joins the parts that cannot be told apart to groups.
func (v *verdict) suspects(weights map[Part]float64) []suspect {
	parts := slices.SortedFunc(maps.Keys(weights), func(a, b Part) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	parts = parts[:min(len(parts), maxSuspects)]
	var list []suspect
	for len(parts) > 0 {
		top := parts[0]
		isJoined := weights[top] < separateThreshold
		members, rest := []Part{top}, []Part(nil)
		for _, p := range parts[1:] {
			if isJoined && weights[p] > weights[top]-sameSetTolerance &&
				v.weight(v.ends.containing([]Part{top, p})) > weights[top]-sameSetTolerance {
				members = append(members, p)
			} else {
				rest = append(rest, p)
			}
		}
		parts = rest
		g := &group{parts: sortedParts(members)}
		if g.ends = v.ends.containing(g.parts); len(g.ends) > 0 {
			list = append(list, suspect{group: g, weight: weights[top], lastCleared: v.lastCleared(g.parts)})
		}
	}
	return list
}

func (v *verdict) lastCleared(parts []Part) time.Time {
	var last time.Time
	for _, p := range parts {
		if at := v.clearances.last(p); at.After(last) {
			last = at
		}
	}
	return last
}

// containing returns the ends that contain all of the parts, in the order of their times.
func (s *ends) containing(parts []Part) []*end {
	var list []*end
	for _, e := range s.byPart[parts[0]] {
		if containsAll(e.parts, parts[1:]) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *end) int { return a.at.Compare(b.at) })
	return list
}

// weight returns the weight of ends.
func (v *verdict) weight(list []*end) float64 {
	times := make([]time.Time, len(list))
	for i, e := range list {
		times[i] = e.at
	}
	slices.SortFunc(times, time.Time.Compare)
	sum := 0.0
	for i := 0; i < len(times); {
		n := 1
		for i+n < len(times) && times[i+n].Sub(times[i]) < momentLength {
			n++
		}
		from, to := times[i].Add(-outageReach), times[i].Add(momentLength+outageReach)
		matching, others := countBetween(times, from, to), countBetween(v.unexplained, from, to)
		sum += min(float64(n), maxMomentWeight) * float64(matching) / float64(matching+others)
		i += n
	}
	return sum
}

// countBetween returns the number of sorted times from one time to before another.
func countBetween(times []time.Time, from, to time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(times, to, time.Time.Compare)
	return last - first
}
