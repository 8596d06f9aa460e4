package share

import (
	"cmp"
	"slices"
)

// Demand is what one workspace asks for, in slots.
type Demand struct {
	Share float64
	// Local is the demand at this daemon and All that at all daemons.
	Local, Total float64
}

// Division is one daemon's part of the slots.
type Division struct {
	// Capacity is the number of slots.
	Capacity float64
	// Shares replace the workspaces' weights at this daemon, so that a workspace whose requests all arrive at one daemon
	// gets no less than one whose requests arrive everywhere.
	Shares map[string]float64
}

// Divide gives each workspace its weighted fair part of the slots, never more than it asks for, and this daemon the
// part of it that arrives here. Slots that nobody asks for are divided evenly.
func Divide(slots float64, daemons int, demands map[string]Demand) Division {
	parts, left := fairParts(slots, demands)
	out := Division{Capacity: left / float64(max(daemons, 1)), Shares: make(map[string]float64, len(demands))}
	for name, d := range demands {
		if d.Total <= 0 || d.Local <= 0 {
			// A workspace that starts here takes an even part until the next division.
			out.Shares[name] = d.Share / float64(max(daemons, 1))
			continue
		}
		here := min(d.Local/d.Total, 1)
		out.Capacity += parts[name] * here
		out.Shares[name] = d.Share * here
	}
	return out
}

// fairParts fills the demands up to a common level per share. It returns the slots that remain.
func fairParts(slots float64, demands map[string]Demand) (parts map[string]float64, left float64) {
	parts = make(map[string]float64, len(demands))
	levels := make([]level, 0, len(demands))
	weight := 0.0
	for name, d := range demands {
		if d.Total > 0 && d.Share > 0 {
			levels = append(levels, level{name: name, height: d.Total / d.Share})
			weight += d.Share
		}
	}
	slices.SortFunc(levels, func(a, b level) int { return cmp.Compare(a.height, b.height) })
	for i, l := range levels {
		if l.height*weight >= slots {
			for _, above := range levels[i:] {
				parts[above.name] = slots * demands[above.name].Share / weight
			}
			return parts, 0
		}
		d := demands[l.name]
		parts[l.name] = d.Total
		slots -= d.Total
		weight -= d.Share
	}
	return parts, slots
}

// level is a workspace's demand per share, up to which its part may be filled.
type level struct {
	name   string
	height float64
}
