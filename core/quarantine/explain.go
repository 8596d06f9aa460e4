package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// group is a set of parts that cannot be told apart by the ends that contain them.
type group struct {
	parts []Part
	// since is the time from which the group has been quarantined with these parts.
	since time.Time
	// ends contain all of the parts, in the order of their times.
	ends []*end
	// hold is the time after the last end in which no request is admitted.
	hold     time.Duration
	lastEnd  time.Time
	trialEnd time.Time
	// alternatives are parts outside the group that could be the cause instead, because nearly all of the ends contain one.
	alternatives []Part
}

// explain returns the suspects that are quarantined: those with enough ends that the suspects before them do not explain,
// in one of two orders. Others were merely on the same engines.
//   - By the first end: a common part is cleared by each sound request, so its ends begin later than those of a part that
//     crashes engines. Otherwise a common part hides two such parts.
//   - By weight: a rare part may have been on an engine that ended earlier for another reason.
//
// A group that was quarantined before stays so until it is no suspect any more: evidence on others does not show that it
// is harmless. Among equals, the part on which engines have not lived for longest is first.
func (v *verdict) explain(list []suspect) []*group {
	firstEnd := func(a, b suspect) int { return a.ends[0].at.Compare(b.ends[0].at) }
	weight := func(a, b suspect) int { return cmp.Compare(b.weight, a.weight) }
	lastCleared := func(a, b suspect) int { return a.lastCleared.Compare(b.lastCleared) }
	kept := map[*group]bool{}
	slices.SortStableFunc(list, func(a, b suspect) int { return cmp.Or(firstEnd(a, b), weight(a, b), lastCleared(a, b)) })
	v.keep(list, kept)
	slices.SortStableFunc(list, func(a, b suspect) int { return cmp.Or(weight(a, b), lastCleared(a, b)) })
	v.keep(list, kept)
	var groups []*group
	for _, s := range list {
		if kept[s.group] || find(v.before, s.parts) != nil {
			s.setAlternatives(list)
			s.setHold()
			groups = append(groups, s.group)
		}
	}
	return groups
}

// keep marks the suspects with enough ends that those before them do not explain.
func (v *verdict) keep(list []suspect, kept map[*group]bool) {
	explained := map[*end]bool{}
	for _, s := range list {
		own := slices.DeleteFunc(slices.Clone(s.ends), func(e *end) bool { return explained[e] })
		if v.weight(own) < threshold {
			continue
		}
		kept[s.group] = true
		for _, e := range own {
			explained[e] = true
		}
	}
}

// setAlternatives sets the alternatives if other suspects could be the cause of nearly all ends of the group.
func (g *group) setAlternatives(list []suspect) {
	isAlternative := func(other suspect) bool { return !g.sharesPart(other.group) }
	own := len(g.ends)
	for _, e := range g.ends {
		if slices.ContainsFunc(list, func(s suspect) bool { return isAlternative(s) && containsAll(e.parts, s.parts) }) {
			own--
		}
	}
	if own > maxMomentWeight {
		return
	}
	for _, s := range list {
		if isAlternative(s) {
			g.alternatives = append(g.alternatives, s.parts...)
		}
	}
}
