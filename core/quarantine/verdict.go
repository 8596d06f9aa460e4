package quarantine

import (
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
	// sameSetTolerance is the weight of ends by which the sets of two parts of a group may differ. It is less than that of
	// one end that no other end accompanies.
	sameSetTolerance = 0.5
)

// group is a set of parts that cannot be told apart by the ends that contain them.
type group struct {
	parts []Part
	// ends are those that the group explains, in the order of their times.
	ends []*end
	// hold is the time after the last end in which no request is admitted.
	hold     time.Duration
	lastEnd  time.Time
	trialEnd time.Time
	// rivals are parts outside the group that could by themselves be the cause, because enough of the ends contain them.
	rivals []Part
}

// verdict derives the quarantined groups from the ends.
type verdict struct {
	ends *ends
	// open holds the times of the ends that no group explains, in ascending order.
	open []time.Time
}

func (s *ends) verdict() []*group {
	for _, e := range s.list {
		e.explained = false
	}
	v := verdict{ends: s}
	var groups []*group
	for {
		v.setOpen()
		best := v.next()
		if best == nil {
			return groups
		}
		groups = append(groups, best)
		for _, e := range best.ends {
			e.explained = true
		}
	}
}

func (v *verdict) setOpen() {
	v.open = v.open[:0]
	for _, e := range v.ends.list {
		if !e.explained {
			v.open = append(v.open, e.at)
		}
	}
}

// next returns the group with the highest weight, or nil if none reaches the threshold.
func (v *verdict) next() *group {
	weights := map[Part]float64{}
	var top Part
	for p, list := range v.ends.byPart {
		if len(list) <= maxMomentWeight {
			continue
		}
		w := v.weight([]Part{p})
		if w < threshold {
			continue
		}
		known, found := weights[top]
		if !found || w > known || w == known && p < top {
			top = p
		}
		weights[p] = w
	}
	if len(weights) == 0 {
		return nil
	}
	return v.group(top, weights)
}

// group returns the group of a part. The other parts that reach the threshold are in weights.
func (v *verdict) group(top Part, weights map[Part]float64) *group {
	g := &group{parts: []Part{top}}
	for p := range weights {
		if p == top {
			continue
		}
		switch shared := v.weight([]Part{top, p}); {
		case shared > weights[top]-sameSetTolerance:
			g.parts = append(g.parts, p)
		case shared >= threshold:
			g.rivals = append(g.rivals, p)
		}
	}
	g.parts = sortedParts(g.parts)
	g.ends = v.matching(g.parts, false)
	if len(g.ends) == 0 {
		return nil
	}
	g.setHold(v.matching(g.parts, true))
	return g
}

// matching returns the ends that contain all of the parts, in the order of their times: the unexplained ones or all.
func (v *verdict) matching(parts []Part, all bool) []*end {
	var list []*end
	for _, e := range v.ends.byPart[parts[0]] {
		if (all || !e.explained) && containsAll(e.parts, parts[1:]) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *end) int { return a.at.Compare(b.at) })
	return list
}

// weight returns the weight of the unexplained ends that contain all of the parts.
func (v *verdict) weight(parts []Part) float64 {
	list := v.matching(parts, false)
	times := make([]time.Time, len(list))
	for i, e := range list {
		times[i] = e.at
	}
	sum := 0.0
	for i := 0; i < len(times); {
		n := 1
		for i+n < len(times) && times[i+n].Sub(times[i]) < momentLength {
			n++
		}
		from, to := times[i].Add(-outageReach), times[i].Add(momentLength+outageReach)
		share := float64(countBetween(times, from, to)) / float64(countBetween(v.open, from, to))
		sum += min(float64(n), maxMomentWeight) * share
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
