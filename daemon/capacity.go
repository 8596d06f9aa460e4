package daemon

import (
	"math"

	"radishhollow/core/config"
	"radishhollow/core/route"
	"radishhollow/core/share"
)

// freeFraction is the fraction of free slots above which daemons that need more than their part may use the free slots.
// Below it, a daemon that uses more than its part gives the excess back as its requests end.
const freeFraction = 0.05

// setCapacity sets the queue's capacity to this daemon's part of the slots by its local demand, or to its slots in use
// plus an equal part of the free slots if that is more. While the demand is unknown, every daemon's part is equal.
func (r *refresher) setCapacity(document config.Document) {
	daemons := 1 + r.members.Count()
	slots, busy, localInFlight := 0, 0, 0
	for _, m := range document.Models() {
		modelSlots, modelBusy := r.table.Slots(route.KindModel, m.Name)
		slots, busy = slots+modelSlots, busy+modelBusy
		localInFlight += r.table.InFlight(route.KindModel, m.Name)
	}
	capacity := (slots + daemons - 1) / daemons
	demands, known := r.slotDemands(document)
	if known {
		division := share.Divide(float64(slots), daemons, demands)
		// Rounding up uses a few of the slots that route.Policy.Headroom reserves for resumed generations. Rounding
		// down would leave half a slot of each daemon idle.
		capacity = int(math.Ceil(division.Capacity))
		r.queue.SetShares(division.Shares)
	} else {
		r.queue.SetShares(nil)
	}
	if free := slots - busy; float64(free) > freeFraction*float64(slots) {
		capacity = max(capacity, localInFlight+free/daemons)
	}
	r.queue.SetCapacity(max(capacity, 1))
}

// slotDemands returns the demand of each workspace in slots. It is unknown while the data of a peer is stale and until
// the first generation has ended.
func (r *refresher) slotDemands(document config.Document) (demands map[string]share.Demand, known bool) {
	secondsPerToken := r.queue.SecondsPerToken()
	if secondsPerToken <= 0 {
		return nil, false
	}
	local := r.limiter.CurrentDemand()
	demands = make(map[string]share.Demand, len(document.Workspaces()))
	for _, w := range document.Workspaces() {
		slots := local[w.Name].TokensPerSecond * secondsPerToken
		demands[w.Name] = share.Demand{Share: max(w.Share, 0), Local: slots, Total: slots}
	}
	for _, p := range r.peerDemands {
		if !p.Fresh {
			return nil, false
		}
		for name, d := range p.PerWorkspace {
			if demand, ok := demands[name]; ok {
				demand.Total += d.TokensPerSecond * secondsPerToken
				demands[name] = demand
			}
		}
	}
	return demands, true
}
