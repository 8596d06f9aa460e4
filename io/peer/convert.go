package peer

import (
	"math"
	"time"

	"radishhollow/core/kv"
	"radishhollow/core/member"
	"radishhollow/io/peer/rpc"
)

func toWire(v member.View) *rpc.View {
	w := &rpc.View{
		Address: v.Address, Incarnation: v.Incarnation, Place: v.Place, Draining: v.Draining,
		Revision: v.Revision, Digest: v.Digest, Listing: v.InstanceListRevision.Number(),
		ListingEra: v.InstanceListRevision.Era(), Stranded: v.Stranded,
		ServesDelegated: v.ServesDelegated,
	}
	if v.ContactAge > 0 {
		w.ContactAgeMs = toMS(v.ContactAge)
	}
	for _, d := range v.Demand {
		w.Demand = append(w.Demand, &rpc.Demand{
			Workspace: d.Workspace, RequestsPerSecond: d.RequestsPerSecond, TokensPerSecond: d.TokensPerSecond,
			Concurrency: uint32(max(0, d.Concurrency)),
		})
	}
	for _, m := range v.Marks {
		w.Marks = append(w.Marks, &rpc.Mark{
			Address: m.Address, Incarnation: m.Incarnation, Dead: m.Dead, AgeMs: toMS(m.Age),
		})
	}
	for _, e := range v.Members {
		w.Members = append(w.Members, &rpc.Member{
			Address: e.Address, Incarnation: e.Incarnation, Place: e.Place, Revision: e.Revision, Draining: e.Draining,
			AgeMs: toMS(e.Age),
		})
	}
	w.Ends, w.Clearances = evidenceToWire(v.Evidence)
	w.Limits = limitsToWire(v.Limits)
	w.Rollouts = rolloutsToWire(v.Rollouts)
	w.Observations = observationsToWire(v.Observations)
	w.Histories = historiesToWire(v.Histories)
	return w
}

func fromWire(w *rpc.View) member.View {
	v := member.View{
		Address: w.GetAddress(), Incarnation: w.GetIncarnation(), Place: w.GetPlace(), Draining: w.GetDraining(),
		Revision: w.GetRevision(), Digest: w.GetDigest(),
		InstanceListRevision: kv.NewRevision(w.GetListingEra(), w.GetListing()),
		Stranded:             w.GetStranded(), ContactAge: fromMS(w.GetContactAgeMs()),
		ServesDelegated: w.GetServesDelegated(),
	}
	for _, d := range w.GetDemand() {
		v.Demand = append(v.Demand, member.Demand{
			Workspace: d.GetWorkspace(), RequestsPerSecond: d.GetRequestsPerSecond(),
			TokensPerSecond: d.GetTokensPerSecond(), Concurrency: int(d.GetConcurrency()),
		})
	}
	for _, m := range w.GetMarks() {
		v.Marks = append(v.Marks, member.Mark{
			Address: m.GetAddress(), Incarnation: m.GetIncarnation(), Dead: m.GetDead(), Age: fromMS(m.GetAgeMs()),
		})
	}
	for _, m := range w.GetMembers() {
		v.Members = append(v.Members, member.Member{
			Address: m.GetAddress(), Incarnation: m.GetIncarnation(), Place: m.GetPlace(), Revision: m.GetRevision(),
			Draining: m.GetDraining(), Age: fromMS(m.GetAgeMs()),
		})
	}
	v.Evidence = evidenceFromWire(w)
	v.Limits = limitsFromWire(w.GetLimits())
	v.Rollouts = rolloutsFromWire(w.GetRollouts())
	v.Observations = observationsFromWire(w.GetObservations())
	v.Histories = historiesFromWire(w.GetHistories())
	return v
}

func fromMS(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// toMS returns a whole number of milliseconds greater than age, so that an age grows with every transfer. Rounded down,
// ages would shrink, and daemons that send an entry to each other could keep it from expiring.
func toMS(age time.Duration) uint32 {
	return uint32(min(age/time.Millisecond+1, math.MaxUint32))
}
