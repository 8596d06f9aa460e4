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
	ends  []*end
	// hold is the time after the last end in which no request is admitted.
	hold     time.Duration
	lastEnd  time.Time
	trialEnd time.Time
}

// verdict derives the quarantined groups from the ends.
type verdict struct {
	ends *ends
	// open holds the ends that no group explains, in the order of their times.
	open []*end
}

func (s *ends) verdict() []*group {
	v := verdict{ends: s, open: s.list}
	var groups []*group
	for {
		best := v.next()
		if best == nil {
			return groups
		}
		groups = append(groups, best)
		v.open = slices.DeleteFunc(slices.Clone(v.open), func(e *end) bool { return containsAll(e.parts, best.parts) })
	}
}

// next returns the group with the highest weight, or nil if none reaches the threshold.
func (v *verdict) next() *group {
	weights := map[Part]float64{}
	var top Part
	for p, list := range v.ends.byPart {
		if len(list) < 2 {
			continue
		}
		w := v.weight(func(e *end) bool { return slices.Contains(e.parts, p) })
		if w < threshold {
			continue
		}
		weights[p] = w
		if known, found := weights[top]; !found || w > known || w == known && p < top {
			top = p
		}
	}
	if len(weights) == 0 {
		return nil
	}
	parts := []Part{top}
	for p := range weights {
		if p == top {
			continue
		}
		both := []Part{top, p}
		shared := v.weight(func(e *end) bool { return containsAll(e.parts, both) })
		if shared > weights[top]-sameSetTolerance {
			parts = append(parts, p)
		}
	}
	return v.group(sortedParts(parts))
}

func (v *verdict) group(parts []Part) *group {
	g := &group{parts: parts}
	for _, e := range v.open {
		if containsAll(e.parts, parts) {
			g.ends = append(g.ends, e)
		}
	}
	if len(g.ends) == 0 {
		return nil
	}
	g.setHold()
	return g
}

// weight returns the weight of the ends that match.
func (v *verdict) weight(match func(*end) bool) float64 {
	var times []time.Time
	for _, e := range v.open {
		if match(e) {
			times = append(times, e.at)
		}
	}
	sum := 0.0
	for i := 0; i < len(times); {
		n := 1
		for i+n < len(times) && times[i+n].Sub(times[i]) < momentLength {
			n++
		}
		sum += min(float64(n), maxMomentWeight) * v.share(times, times[i])
		i += n
	}
	return sum
}

// share returns the share of the ends around a moment that are at one of the times.
func (v *verdict) share(times []time.Time, moment time.Time) float64 {
	from, to := moment.Add(-outageReach), moment.Add(momentLength+outageReach)
	matching, all := 0, 0
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			matching++
		}
	}
	for _, e := range v.open {
		if !e.at.Before(from) && e.at.Before(to) {
			all++
		}
	}
	return float64(matching) / float64(all)
}
