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
	allocations, unallocated := maxMinAllocations(slots, demands)
	division := Division{Capacity: unallocated / float64(max(daemons, 1)), Shares: make(map[string]float64, len(demands))}
	for name, d := range demands {
		if d.Total <= 0 || d.Local <= 0 {
			// A workspace that starts here takes an even part until the next division.
			division.Shares[name] = d.Share / float64(max(daemons, 1))
			continue
		}
		localFraction := min(d.Local/d.Total, 1)
		division.Capacity += allocations[name] * localFraction
		division.Shares[name] = d.Share * localFraction
	}
	return division
}

// maxMinAllocations fills the demands up to a common level per share. It returns the slots that remain.
func maxMinAllocations(slots float64, demands map[string]Demand) (allocations map[string]float64, unallocated float64) {
	allocations = make(map[string]float64, len(demands))
	levels := make([]demandLevel, 0, len(demands))
	weight := 0.0
	for name, d := range demands {
		if d.Total > 0 && d.Share > 0 {
			levels = append(levels, demandLevel{name: name, demandPerShare: d.Total / d.Share})
			weight += d.Share
		}
	}
	slices.SortFunc(levels, func(a, b demandLevel) int { return cmp.Compare(a.demandPerShare, b.demandPerShare) })
	for i, l := range levels {
		if l.demandPerShare*weight >= slots {
			for _, above := range levels[i:] {
				allocations[above.name] = slots * demands[above.name].Share / weight
			}
			return allocations, 0
		}
		d := demands[l.name]
		allocations[l.name] = d.Total
		slots -= d.Total
		weight -= d.Share
	}
	return allocations, slots
}

// demandLevel is a workspace's demand per share, up to which its part may be filled.
type demandLevel struct {
	name           string
	demandPerShare float64
}
