package limit

import (
	"slices"
	"time"
)

const (
	// evenShare is the part of each limit that is divided evenly, so that a daemon whose demand starts has something
	// until its peers have heard of it.
	evenShare = 0.2
	// smallUnits is the number of units per daemon below which a whole number is only divided evenly, because
	// rounding down by demand would waste much of it.
	smallUnits = 4
)

// view is one daemon's knowledge of one resource's demand. Own is the lowest own demand and peers the highest
// peer demand of the hold time. Any moment within the hold time of all daemons bounds both from the safe side, so
// the fractions of all daemons add up to at most 1 although their views differ.
type view struct {
	own   float64
	peers float64
	// count is the number of daemons and rank this daemon's place among their addresses.
	count int
	rank  int
	// even caps the part at the even one, while a peer's data is or recently was stale.
	even bool
	// stale uses the even part.
	stale bool
}

// fraction returns this daemon's part of a divisible limit.
func (v view) fraction() float64 {
	even := 1 / float64(v.count)
	if v.stale || v.own+v.peers <= 0 {
		return even
	}
	f := evenShare*even + (1-evenShare)*v.own/(v.own+v.peers)
	if v.even {
		return min(f, even)
	}
	return f
}

// units returns this daemon's part of a whole number.
func (v view) units(total int) int {
	all := v.evenUnits(total)
	if v.stale || v.count == 1 || total < smallUnits*v.count || v.own+v.peers <= 0 {
		return all
	}
	reserved := int(evenShare * float64(total))
	n := v.evenUnits(reserved) + int(float64(total-reserved)*v.own/(v.own+v.peers))
	if v.even {
		return min(n, all)
	}
	return n
}

// evenUnits divides a whole number evenly; the lowest addresses get the remainder.
func (v view) evenUnits(total int) int {
	n := total / v.count
	if v.rank < total%v.count {
		n++
	}
	return n
}

// rankOf returns the number of addresses below own.
func rankOf(own string, peers map[string]*peer) int {
	rank := 0
	for address := range peers {
		if address < own {
			rank++
		}
	}
	return rank
}

// epochs is the number of time slices that a window keeps; all but the current one make up the hold time.
const epochs = 3

// epochOf returns the index of the time slice since start.
func epochOf(start, now time.Time, hold time.Duration) int64 {
	return int64(now.Sub(start) / max(hold/(epochs-1), time.Millisecond))
}

// floors keeps the lowest own demand of each recent time slice.
type floors struct {
	slots [epochs]slot
}

type slot struct {
	epoch  int64
	used   bool
	demand Demand
}

func (f *floors) add(epoch int64, d Demand) {
	s := &f.slots[epoch%epochs]
	if !s.used || s.epoch != epoch {
		*s = slot{epoch: epoch, used: true, demand: d}
		return
	}
	s.demand = merge(s.demand, d, lower)
}

// lowest returns the lowest demand of the window.
func (f *floors) lowest(epoch int64) Demand {
	var out Demand
	found := false
	for _, s := range f.slots {
		if !s.used || epoch-s.epoch >= epochs {
			continue
		}
		if !found {
			out, found = s.demand, true
			continue
		}
		out = merge(out, s.demand, lower)
	}
	return out
}

// peer keeps the highest demand of each recent time slice of one peer.
type peer struct {
	listedAt time.Time
	slices   [epochs]peerSlice
}

type peerSlice struct {
	epoch  int64
	demand map[string]Demand
}

func (p *peer) add(epoch int64, perWorkspace map[string]Demand) {
	s := &p.slices[epoch%epochs]
	if s.demand == nil || s.epoch != epoch {
		*s = peerSlice{epoch: epoch, demand: make(map[string]Demand, len(perWorkspace))}
	}
	for name, d := range perWorkspace {
		s.demand[name] = merge(s.demand[name], d, higher)
	}
}

// addHighest adds the highest demand of the window to the sums by workspace.
func (p *peer) addHighest(epoch int64, sums map[string]Demand) {
	recent := slices.DeleteFunc(slices.Clone(p.slices[:]), func(s peerSlice) bool {
		return s.demand == nil || epoch-s.epoch >= epochs
	})
	for i, s := range recent {
		for name, d := range s.demand {
			high, counted := d, false
			for j, other := range recent {
				o, ok := other.demand[name]
				counted = counted || (ok && j < i)
				high = merge(high, o, higher)
			}
			if !counted {
				sums[name] = merge(sums[name], high, sum)
			}
		}
	}
}

// operation combines two figures.
type operation func(a, b float64) float64

func lower(a, b float64) float64  { return min(a, b) }
func higher(a, b float64) float64 { return max(a, b) }
func sum(a, b float64) float64    { return a + b }

func merge(a, b Demand, f operation) Demand {
	return Demand{
		RequestsPerSecond: f(a.RequestsPerSecond, b.RequestsPerSecond),
		TokensPerSecond:   f(a.TokensPerSecond, b.TokensPerSecond),
		Concurrency:       int(f(float64(a.Concurrency), float64(b.Concurrency))),
	}
}
