package peer

import (
	"math"

	"radishhollow/core/evidence"
	"radishhollow/core/route"
	"radishhollow/io/peer/rpc"
)

// maxReceivedTallies bounds the tallies and requests in flight of all reports in a received view, above what any version sends.
const maxReceivedTallies = 4096

// maxCount bounds the requests of a tally. A daemon sends far fewer in its life.
const maxCount = 1 << 40

// sentObservations returns the reports on endpoints to send.
func (n *Node) sentObservations() []evidence.Report {
	if n.Observations == nil {
		return nil
	}
	return n.Observations(maxSentObservations)
}

// mergeObservations passes on the reports on endpoints of a merged view.
func (n *Node) mergeObservations(reports []evidence.Report) {
	if n.MergeObservations != nil && len(reports) > 0 {
		n.MergeObservations(reports)
	}
}

func observationsToWire(reports []evidence.Report) []*rpc.Observations {
	var list []*rpc.Observations
	for _, r := range reports {
		o := &rpc.Observations{Daemon: r.Daemon, Incarnation: r.Incarnation, Sequence: r.Sequence, AgeMs: toMS(r.Age)}
		for _, t := range r.Tallies {
			o.Tallies = append(o.Tallies, &rpc.Tally{
				Service: t.Service, Route: t.Route, Version: t.Version, Endpoint: t.Endpoint,
				Requests: t.Requests, Failures: t.Failures, Slow: t.Slow, Durations: withoutTrailingZeros(t.Durations[:]),
			})
		}
		for _, f := range r.InFlight {
			requests := uint32(min(max(f.Requests, 0), math.MaxInt32))
			o.InFlight = append(o.InFlight, &rpc.InFlight{Service: f.Service, Target: f.Target, Requests: requests})
		}
		list = append(list, o)
	}
	return list
}

func withoutTrailingZeros(counts []uint64) []uint64 {
	n := len(counts)
	for n > 0 && counts[n-1] == 0 {
		n--
	}
	return counts[:n]
}

func observationsFromWire(list []*rpc.Observations) []evidence.Report {
	var reports []evidence.Report
	for _, o := range list {
		r := evidence.Report{
			Daemon: o.GetDaemon(), Incarnation: o.GetIncarnation(), Sequence: o.GetSequence(), Age: fromMS(o.GetAgeMs()),
		}
		for _, t := range o.GetTallies() {
			tally := evidence.Tally{
				Key: evidence.Key{
					Service: t.GetService(), Route: t.GetRoute(), Version: t.GetVersion(), Endpoint: t.GetEndpoint(),
				},
				Requests: t.GetRequests(), Failures: t.GetFailures(), Slow: t.GetSlow(),
			}
			copy(tally.Durations[:], t.GetDurations())
			r.Tallies = append(r.Tallies, tally)
		}
		for _, f := range o.GetInFlight() {
			r.InFlight = append(r.InFlight, evidence.InFlight{
				Service: f.GetService(), Target: f.GetTarget(), Requests: int(f.GetRequests()),
			})
		}
		reports = append(reports, r)
	}
	return reports
}

// areValidObservations reports whether reports on endpoints are bounded and well-formed. More failures or slow answers than
// requests would distort every comparison.
func areValidObservations(list []*rpc.Observations) bool {
	items := 0
	for _, o := range list {
		items += len(o.GetTallies()) + len(o.GetInFlight())
		if items > maxReceivedTallies || !route.IsAddress(o.GetDaemon()) || !withinStringLimit(o.GetIncarnation()) {
			return false
		}
		for _, t := range o.GetTallies() {
			if !isValidTally(t) {
				return false
			}
		}
		for _, f := range o.GetInFlight() {
			if !withinStringLimit(f.GetService(), f.GetTarget()) || f.GetRequests() > math.MaxInt32 {
				return false
			}
		}
	}
	return true
}

func isValidTally(t *rpc.Tally) bool {
	return withinStringLimit(t.GetService(), t.GetRoute(), t.GetVersion(), t.GetEndpoint()) &&
		t.GetService() != "" && len(t.GetDurations()) <= evidence.BucketCount &&
		t.GetRequests() <= maxCount && t.GetFailures() <= t.GetRequests() && t.GetSlow() <= t.GetRequests()
}
