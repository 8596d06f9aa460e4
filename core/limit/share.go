package limit

import (
	"slices"
	"time"
)

const (
	// evenFraction is the fraction of each limit that is divided evenly, so that a daemon with new demand can admit
	// requests before its peers receive that demand.
	evenFraction = 0.2
	// minUnitsPerDaemon is the number of units per daemon below which an integer limit is only divided evenly, because
	// rounding down shares in proportion to demand would waste much of it.
	minUnitsPerDaemon = 4
)

// demandView is one daemon's view of the demand for one resource: its own lowest and its peers' highest demand within
// the propagation delay. At any time that lies in the windows of all daemons, the demand that a daemon published is at
// least its own ownDemand, and the demand that its peers published is at most its peerDemand. The fractions of all
// daemons therefore add up to at most 1, although their views differ. This holds if every daemon receives each
// published change of demand within Limiter.PropagationDelay.
type demandView struct {
	ownDemand  float64
	peerDemand float64
	// daemons is the number of daemons, and rank is this daemon's index in the order of their addresses.
	daemons int
	rank    int
	// capAtEven limits the share to an even division while a peer is stale or recently was.
	capAtEven bool
	// forceEven ignores demand and divides evenly while a peer is stale.
	forceEven bool
}

// fraction returns this daemon's share of a rate limit, as a fraction.
func (v demandView) fraction() float64 {
	even := 1 / float64(v.daemons)
	if v.forceEven || v.ownDemand+v.peerDemand <= 0 {
		return even
	}
	f := evenFraction*even + (1-evenFraction)*v.ownDemand/(v.ownDemand+v.peerDemand)
	if v.capAtEven {
		return min(f, even)
	}
	return f
}

// units returns this daemon's share of an integer limit.
func (v demandView) units(total int) int {
	even := v.evenUnits(total)
	if v.forceEven || v.daemons == 1 || total < minUnitsPerDaemon*v.daemons || v.ownDemand+v.peerDemand <= 0 {
		return even
	}
	reserved := int(evenFraction * float64(total))
	n := v.evenUnits(reserved) + int(float64(total-reserved)*v.ownDemand/(v.ownDemand+v.peerDemand))
	if v.capAtEven {
		return min(n, even)
	}
	return n
}

// evenUnits returns this daemon's share of an integer that is divided evenly. The daemons with the lowest addresses get
// the remainder, one unit each; if total is less than the number of daemons, the others get 0.
func (v demandView) evenUnits(total int) int {
	n := total / v.daemons
	if v.rank < total%v.daemons {
		n++
	}
	return n
}

// rankOf returns the number of peers whose address sorts before address.
func rankOf(address string, peers map[string]*peer) int {
	rank := 0
	for peerAddress := range peers {
		if peerAddress < address {
			rank++
		}
	}
	return rank
}

// windowEpochs is the number of epochs in a window. All but the current one together last the propagation delay.
const windowEpochs = 3

// epochAt returns the number of the epoch at time now, counted from start. An epoch is half the propagation delay long.
func epochAt(start, now time.Time, propagationDelay time.Duration) int64 {
	return int64(now.Sub(start) / max(propagationDelay/(windowEpochs-1), time.Millisecond))
}

// demandMinima keeps this daemon's lowest published demand in each recent epoch.
type demandMinima struct {
	epochs [windowEpochs]epochMinimum
}

type epochMinimum struct {
	epoch    int64
	recorded bool
	demand   Demand
}

func (m *demandMinima) record(epoch int64, d Demand) {
	s := &m.epochs[epoch%windowEpochs]
	if !s.recorded || s.epoch != epoch {
		*s = epochMinimum{epoch: epoch, recorded: true, demand: d}
		return
	}
	s.demand = combine(s.demand, d, lower)
}

// minimum returns the lowest demand in the window that ends with epoch.
func (m *demandMinima) minimum(epoch int64) Demand {
	var lowest Demand
	found := false
	for _, s := range m.epochs {
		if !s.recorded || epoch-s.epoch >= windowEpochs {
			continue
		}
		if !found {
			lowest, found = s.demand, true
			continue
		}
		lowest = combine(lowest, s.demand, lower)
	}
	return lowest
}

// peer keeps the highest demand of one peer in each recent epoch.
type peer struct {
	// observedAt is the time of the last call of ObservePeers that contained the peer.
	observedAt time.Time
	epochs     [windowEpochs]epochMaximum
}

type epochMaximum struct {
	epoch  int64
	demand map[string]Demand
}

func (p *peer) record(epoch int64, perWorkspace map[string]Demand) {
	s := &p.epochs[epoch%windowEpochs]
	if s.demand == nil || s.epoch != epoch {
		*s = epochMaximum{epoch: epoch, demand: make(map[string]Demand, len(perWorkspace))}
	}
	for name, d := range perWorkspace {
		s.demand[name] = combine(s.demand[name], d, higher)
	}
}

// addMaximum adds the peer's highest demand in the window that ends with epoch to the totals by workspace.
func (p *peer) addMaximum(epoch int64, totals map[string]Demand) {
	recent := slices.DeleteFunc(slices.Clone(p.epochs[:]), func(s epochMaximum) bool {
		return s.demand == nil || epoch-s.epoch >= windowEpochs
	})
	for i, s := range recent {
		for name, d := range s.demand {
			highest, alreadyAdded := d, false
			for j, other := range recent {
				o, ok := other.demand[name]
				alreadyAdded = alreadyAdded || (ok && j < i)
				highest = combine(highest, o, higher)
			}
			if !alreadyAdded {
				totals[name] = combine(totals[name], highest, sum)
			}
		}
	}
}

// combiner combines two values of the same field of Demand.
type combiner func(a, b float64) float64

func lower(a, b float64) float64  { return min(a, b) }
func higher(a, b float64) float64 { return max(a, b) }
func sum(a, b float64) float64    { return a + b }

func combine(a, b Demand, f combiner) Demand {
	return Demand{
		RequestsPerSecond: f(a.RequestsPerSecond, b.RequestsPerSecond),
		TokensPerSecond:   f(a.TokensPerSecond, b.TokensPerSecond),
		Concurrency:       int(f(float64(a.Concurrency), float64(b.Concurrency))),
	}
}
