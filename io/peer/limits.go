package peer

import (
	"radishhollow/core/route"
	"radishhollow/core/throttle"
	"radishhollow/io/peer/rpc"
)

func limitsToWire(reports []throttle.Report) []*rpc.Limit {
	var limits []*rpc.Limit
	for _, r := range reports {
		limit := &rpc.Limit{
			Address: r.Endpoint.Address, Incarnation: r.Endpoint.Incarnation, StartedAtMs: r.Endpoint.StartedAtMS,
			Version: r.Version, Limited: r.Limited, Rate: r.Rate, Derived: r.Derived,
		}
		if !r.Limited {
			limit.EndedAgeMs = toMS(r.EndedAge)
		}
		limits = append(limits, limit)
	}
	return limits
}

func limitsFromWire(limits []*rpc.Limit) []throttle.Report {
	var reports []throttle.Report
	for _, l := range limits {
		reports = append(reports, throttle.Report{
			Endpoint: throttle.Endpoint{
				Address: l.GetAddress(), Incarnation: l.GetIncarnation(), StartedAtMS: l.GetStartedAtMs(),
			},
			Version: l.GetVersion(), Limited: l.GetLimited(), Rate: l.GetRate(), Derived: l.GetDerived(), EndedAge: fromMS(l.GetEndedAgeMs()),
		})
	}
	return reports
}

func areValidLimits(limits []*rpc.Limit) bool {
	for _, l := range limits {
		if !route.IsAddress(l.GetAddress()) || !withinStringLimit(l.GetIncarnation()) {
			return false
		}
	}
	return true
}

// mergeLimits passes on the limits of a merged view.
func (n *Node) mergeLimits(limits []throttle.Report) {
	if n.MergeLimits != nil && len(limits) > 0 {
		n.MergeLimits(limits)
	}
}
