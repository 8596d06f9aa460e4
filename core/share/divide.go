package share

import (
	"cmp"
	"slices"
)

// Demand is the number of slots that a workspace could use.
type Demand struct {
	Share float64
	// Local is the demand at this daemon and Total that at all daemons.
	Local, Total float64
}

// Division is one daemon's part of the slots.
type Division struct {
	// Capacity is the number of slots.
	Capacity float64
	// Shares replaces the workspaces' shares at this daemon, so that a workspace whose requests all arrive at one
	// daemon gets no less than one whose requests arrive at all of them.
	Shares map[string]float64
}

// Divide returns this daemon's part of the slots. Slots are allocated to workspaces by weighted max-min fairness, never
// more than their demand, and this daemon gets the fraction Local/Total of each allocation. Slots without demand are
// divided evenly between the daemons.
func Divide(slots float64, daemons int, demands map[string]Demand) Division {
	allocations, unallocated := maxMinAllocations(slots, demands)
	division := Division{Capacity: unallocated / float64(max(daemons, 1)), Shares: make(map[string]float64, len(demands))}
	for name, d := range demands {
		if d.Total <= 0 || d.Local <= 0 {
			// A workspace without demand at this daemon so far gets an even part of its share until the next division.
			division.Shares[name] = d.Share / float64(max(daemons, 1))
			continue
		}
		localFraction := min(d.Local/d.Total, 1)
		division.Capacity += allocations[name] * localFraction
		division.Shares[name] = d.Share * localFraction
	}
	return division
}

// maxMinAllocations raises all allocations to a common level per share, each at most to its demand. It returns the
// slots left over.
func maxMinAllocations(slots float64, demands map[string]Demand) (allocations map[string]float64, unallocated float64) {
	allocations = make(map[string]float64, len(demands))
	levels := make([]demandLevel, 0, len(demands))
	remainingShares := 0.0
	for name, d := range demands {
		if d.Total > 0 && d.Share > 0 {
			levels = append(levels, demandLevel{name: name, demandPerShare: d.Total / d.Share})
			remainingShares += d.Share
		}
	}
	slices.SortFunc(levels, func(a, b demandLevel) int { return cmp.Compare(a.demandPerShare, b.demandPerShare) })
	for i, l := range levels {
		if l.demandPerShare*remainingShares >= slots {
			for _, above := range levels[i:] {
				allocations[above.name] = slots * demands[above.name].Share / remainingShares
			}
			return allocations, 0
		}
		d := demands[l.name]
		allocations[l.name] = d.Total
		slots -= d.Total
		remainingShares -= d.Share
	}
	return allocations, slots
}

// demandLevel is the level per share at which a workspace's demand is met.
type demandLevel struct {
	name           string
	demandPerShare float64
}
