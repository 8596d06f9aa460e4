package rollout

import "math"

// slowDaemonWeight is the highest ratio between the evidence of all daemons and that without the one that contributes most
// for slow responses. A third of the threshold must come from the other daemons.
const slowDaemonWeight = 3

// weighing is the evidence of some bins.
type weighing struct{ bins []weighed }

// part is what one endpoint or one daemon contributes to the evidence.
type part struct{ evidence, bad float64 }

// verdict returns the evidence, reduced where it does not come from several endpoints and daemons.
// Failures that neither are compared nor last are a suspicion while they may go on. latest is the index of the last bin.
func (w weighing) verdict(latest int) verdict {
	endpoints, daemons := map[string]part{}, map[string]part{}
	var total part
	var all float64
	for i := range w.bins {
		b := &w.bins[i]
		bad, n := b.criterion.count(&b.target)
		total.bad += bad
		all += n
		total.evidence += b.evidence(&b.target)
		b.addParts(b.byEndpoint, endpoints)
		b.addParts(b.byDaemon, daemons)
	}
	evidence := withoutWorstEndpoint(total, endpoints)
	if len(w.bins) > 0 && w.bins[0].criterion.kind != kindFailures {
		// A slow daemon measures long durations on all versions, but may send more to the target than its share.
		evidence = min(evidence, slowDaemonWeight*withoutWorstDaemon(total, daemons))
	} else if len(daemons) > 1 && countBad(daemons) < 2 {
		evidence = min(evidence, likelier-0.1)
	}
	switch isPersistent, lastBad := w.persistence(); {
	case total.bad < minBad:
		evidence = min(evidence, clearEvidence-0.1)
	case !isPersistent && latest-lastBad <= minPersistence:
		evidence = min(evidence, likelier-0.1)
	case !isPersistent:
		evidence = min(evidence, suspicion-0.1)
	}
	return verdict{evidence: evidence, figures: Figures{
		TargetResponses: uint64(all), TargetBad: uint64(total.bad), Endpoints: countBad(endpoints), Daemons: countBad(daemons),
	}}
}

func (b *weighed) addParts(counted map[string]*counts, parts map[string]part) {
	for name, c := range counted {
		bad, _ := b.criterion.count(c)
		p := parts[name]
		parts[name] = part{p.evidence + b.evidence(c), p.bad + bad}
	}
}

// persistence reports whether the bad responses are compared with other versions, or last for some time, and returns the
// index of the last bin with one.
func (w weighing) persistence() (isPersistent bool, last int) {
	var compared float64
	times := map[int]bool{}
	for i := range w.bins {
		b := &w.bins[i]
		bad, _ := b.criterion.count(&b.target)
		if bad > 0 {
			times[b.index] = true
			last = max(last, b.index)
		}
		if b.isCompared {
			compared += bad
		}
	}
	return compared >= minComparedBad || len(times) >= minPersistence, last
}

// withoutWorstEndpoint returns the evidence without the endpoint that contributes most if there are three or more. Of two
// endpoints, both must contribute.
func withoutWorstEndpoint(total part, endpoints map[string]part) float64 {
	highest, lowest := extremes(endpoints)
	switch {
	case len(endpoints) >= 3:
		return total.evidence - max(highest, 0)
	case len(endpoints) == 2 && lowest <= 0:
		return min(total.evidence, 0)
	default:
		return total.evidence
	}
}

// withoutWorstDaemon returns the evidence without the daemon that contributes most if there are two or more.
func withoutWorstDaemon(total part, daemons map[string]part) float64 {
	highest, _ := extremes(daemons)
	if len(daemons) < 2 {
		return total.evidence
	}
	return total.evidence - max(highest, 0)
}

func extremes(parts map[string]part) (highest, lowest float64) {
	highest, lowest = math.Inf(-1), math.Inf(1)
	for _, p := range parts {
		highest, lowest = max(highest, p.evidence), min(lowest, p.evidence)
	}
	return highest, lowest
}

func countBad(parts map[string]part) (n int) {
	for _, p := range parts {
		if p.bad > 0 {
			n++
		}
	}
	return n
}
