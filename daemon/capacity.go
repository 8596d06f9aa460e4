package daemon

import (
	"math"

	"radishhollow/core/config"
	"radishhollow/core/route"
	"radishhollow/core/share"
)

// freePart is the part of the slots above which free ones are left to the daemons that ask for more than their part.
// Below it, a daemon that has more than its part gives it back as its work ends.
const freePart = 0.05

// setCapacity lets this daemon use its part of the slots by the demand that arrives here, or what the others leave free
// if that is more.
func (r *refresh) setCapacity(document config.Document) {
	daemons := 1 + r.members.Count()
	slots, busy, own := 0, 0, 0
	for _, m := range document.Models() {
		n, used := r.table.Slots(route.KindModel, m.Name)
		slots, busy = slots+n, busy+used
		own += r.table.InFlight(route.KindModel, m.Name)
	}
	capacity := (slots + daemons - 1) / daemons
	demands, known := r.demands(document)
	if known {
		division := share.Divide(float64(slots), daemons, demands)
		// Rounding up uses a few slots of the headroom; rounding down would leave half a slot of each daemon idle.
		capacity = int(math.Ceil(division.Capacity))
		r.queue.SetShares(division.Shares)
	} else {
		r.queue.SetShares(nil)
	}
	if free := slots - busy; float64(free) > freePart*float64(slots) {
		capacity = max(capacity, own+free/daemons)
	}
	r.queue.SetCapacity(max(capacity, 1))
}

// demands returns every workspace's demand in slots. It is unknown while a peer's data is stale or before the first
// generation has ended.
func (r *refresh) demands(document config.Document) (demands map[string]share.Demand, known bool) {
	perToken := r.queue.SecondsPerToken()
	if perToken <= 0 {
		return nil, false
	}
	asked := r.limiter.CurrentDemand()
	demands = make(map[string]share.Demand, len(document.Workspaces()))
	for _, w := range document.Workspaces() {
		here := asked[w.Name].TokensPerSecond * perToken
		demands[w.Name] = share.Demand{Share: max(w.Share, 0), Local: here, Total: here}
	}
	for _, p := range r.peers {
		if !p.Fresh {
			return nil, false
		}
		for name, d := range p.PerWorkspace {
			if sum, ok := demands[name]; ok {
				sum.Total += d.TokensPerSecond * perToken
				demands[name] = sum
			}
		}
	}
	return demands, true
}
