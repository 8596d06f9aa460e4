package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"radishhollow/core/evidence"
)

// Evidence against a target is the logarithm of how much more likely its responses are if the version is bad than if it is
// as good as the others.
const (
	// clearEvidence is the evidence at which a target is bad. The comparison is made five times a second on several routes
	// for a minute, so that a single one must rarely be wrong: here, in one of some thousand.
	clearEvidence = 8.0
	// suspicion is the evidence with which a positive verdict waits.
	suspicion = 2.0
	// likelier is the evidence with which a target is rolled back at the latest time of the verdict. Most versions are
	// good, and the evidence is the highest of many intervals and routes, so it is above 0. With 3.0, a good version was
	// rolled back after the crash of a place in 1 of 8 plays.
	likelier = 4.0
	// minBad is the number of bad responses, a handful, below which a target is not bad.
	minBad = 5
	// minFailing is the lowest rate of failures of the other versions that is assumed, and minSlowing that of slow
	// responses, which is the part of the durations above the limit that slowLimit finds.
	minFailing, minSlowing = 0.01, 0.05
	// minDurations is the number of durations of the other versions from which the limit of slow responses is taken.
	minDurations = 8
	// fewDurations is the number below which that limit is one bucket higher, because it may be low by chance.
	fewDurations = 50
	// minCompared is the number of responses of the other versions in the same seconds below which there is no
	// comparison under the same load, and comparedPart the part of those of the target, if that is more: requests that
	// are still on the old version after all new ones go to the target are the long ones.
	minCompared, comparedPart = 2, 0.5
	// maxRadius is the number of bins before and after a bin that are searched for responses to compare with, where
	// there are few requests: 5 s.
	maxRadius = 10
	// verySlow is the number of buckets above the limit of slow responses from which a duration is very slow, 2.25 times
	// as long. Of the other versions' responses, minVerySlow at most are assumed to be.
	verySlow, minVerySlow = 2, 0.015
	// maxRate bounds the part of bad responses that is taken for usual.
	maxRate = 0.95
	// minComparedBad is the number of bad responses with a comparison that suffices. With fewer, failures must be found in
	// minPersistence bins, so that the crash of a place is not taken for a bad version: those of a crash last for the time
	// of the longest requests and until the endpoints leave the list.
	minComparedBad = 3
	minPersistence = 5
)

// badParts are the parts of the responses that are bad because of the version, for which evidence is computed.
var badParts = [...]float64{0.2, 0.5, 0.9}

// verdict is the result of a comparison.
type verdict struct {
	evidence float64
	figures  Figures
}

func (v verdict) isBad() bool { return v.evidence >= clearEvidence }

func (v verdict) reason() string {
	f := v.figures
	if f.TargetResponses == 0 {
		return "no evidence"
	}
	return fmt.Sprintf("%s on route %q: %d of %d responses of the target, %d of %d of other versions", f.Kind, f.Route,
		f.TargetBad, f.TargetResponses, f.OtherBad, f.OtherResponses)
}

// criterion tells bad responses from others.
type criterion struct {
	kind string
	// limit is the bucket above which a duration is slow, or -1 to use the tallies' own count of slow responses.
	limit int
	floor float64
	// usual is an upper estimate of the part of bad responses among others, the results of the other versions.
	usual  float64
	others *counts
}

// count returns the numbers of bad and of all responses.
func (k criterion) count(c *counts) (bad, all float64) {
	switch {
	case k.kind == kindFailures:
		return float64(c.failures), float64(c.requests)
	case k.limit < 0:
		return float64(c.slow), float64(less(c.requests, c.failures))
	}
	for i, n := range c.durations {
		all += float64(n)
		if i > k.limit {
			bad += float64(n)
		}
	}
	return bad, all
}

// The kinds of bad responses in Figures.
const (
	kindFailures = "failures"
	kindSlow     = "slow"
	kindVerySlow = "very slow"
)

// allRoutes stands for all routes together in Figures.
const allRoutes = "*"

// slowLimit returns the bucket above which a duration is slow: at most one in twenty of the other versions' is.
func slowLimit(others *counts) int {
	var all, above uint64
	for _, n := range others.durations {
		all += n
	}
	if all < minDurations {
		return -1
	}
	for i := evidence.BucketCount - 1; i > 0; i-- {
		above += others.durations[i]
		if float64(above) > minSlowing*float64(all) && all < fewDurations {
			return i + 1
		}
		if float64(above) > minSlowing*float64(all) {
			return i
		}
	}
	return 0
}

// judge compares the target with the other versions on each route and on all routes together, and returns the strongest
// evidence.
func (t *tracker) judge() verdict {
	worst := verdict{evidence: math.Inf(-1)}
	routes := t.routes()
	if len(routes) > 1 {
		routes = append(routes, allRoutes)
	}
	for _, kind := range []string{kindFailures, kindSlow, kindVerySlow} {
		criteria := t.criteria(kind, routes)
		for _, route := range routes {
			if v := t.judgeRoute(route, criteria); v.evidence > worst.evidence {
				v.figures.Kind, v.figures.Route = kind, route
				worst = v
			}
		}
	}
	return worst
}

// routes returns the routes on which the target has responded.
func (t *tracker) routes() []string {
	found := map[string]bool{}
	for _, b := range t.bins {
		for route, compared := range b.routes {
			if compared.target.requests > 0 {
				found[route] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// criteria returns the criteria of a kind by route.
func (t *tracker) criteria(kind string, routes []string) map[string]criterion {
	found := map[string]criterion{}
	for _, route := range routes {
		others := t.others[route]
		if others == nil {
			others = &counts{}
		}
		k := criterion{kind: kind, limit: slowLimit(others), floor: minSlowing}
		switch {
		case kind == kindFailures:
			k.floor = minFailing
		case kind == kindVerySlow && k.limit >= 0:
			k.limit, k.floor = k.limit+verySlow, minVerySlow
		}
		k.usual = usualRate(k, others)
		k.others = others
		found[route] = k
	}
	return found
}

// judgeRoute returns the evidence on one route, or on all together.
func (t *tracker) judgeRoute(route string, criteria map[string]criterion) verdict {
	worst := verdict{evidence: math.Inf(-1)}
	for _, part := range badParts {
		if v := t.weighBins(route, criteria, part).verdict(len(t.bins) - 1); v.evidence > worst.evidence {
			worst = v
		}
	}
	for name, k := range criteria {
		if name == route || route == allRoutes {
			bad, all := k.count(k.others)
			worst.figures.OtherBad += uint64(bad)
			worst.figures.OtherResponses += uint64(all)
		}
	}
	return worst
}

// usualRate returns an upper estimate of the part of bad responses of the other versions. Without any it is 0.12.
func usualRate(k criterion, others *counts) float64 {
	bad, all := k.count(others)
	mean := (bad + 0.5) / (all + 10)
	return min(max(mean+math.Sqrt(mean*(1-mean)/(all+11)), k.floor), maxRate)
}

// weighed is a bin of a route with the weights of a bad and a good response of the target.
type weighed struct {
	*comparison
	// index is that of the bin.
	index      int
	criterion  criterion
	bad, good  float64
	isCompared bool
}

// weighBins returns the latest bins with the most evidence against the target, because a version may turn bad later.
func (t *tracker) weighBins(route string, criteria map[string]criterion, part float64) weighing {
	var w weighing
	var sum, best float64
	var bins []weighed
	for i := len(t.bins) - 1; i >= 0; i-- {
		for name, compared := range t.bins[i].routes {
			if name != route && route != allRoutes || compared.target.requests == 0 {
				continue
			}
			b := t.weigh(i, name, criteria[name], part)
			if !b.isCompared && b.criterion.kind != kindFailures {
				continue
			}
			bins = append(bins, b)
			sum += b.evidence(&compared.target)
		}
		if sum > best || w.bins == nil {
			best, w.bins = sum, bins
		}
	}
	return w
}

// weigh returns the weights for a bin of a route if part of the responses is bad because of the version.
func (t *tracker) weigh(i int, route string, k criterion, part float64) weighed {
	rate, isCompared := t.rateAround(i, route, k)
	bad := rate + part*(1-rate)
	return weighed{
		comparison: t.bins[i].routes[route], index: i, criterion: k, bad: math.Log(bad / rate), good: math.Log((1 - bad) / (1 - rate)),
		isCompared: isCompared,
	}
}

func (b *weighed) evidence(c *counts) float64 {
	bad, all := b.criterion.count(c)
	return bad*b.bad + (all-bad)*b.good
}

// rateAround returns the part of bad responses that is usual at the time of a bin: the one of the other versions around
// that time if it is higher than over the whole time. isCompared states that there were enough of them at that time.
func (t *tracker) rateAround(i int, route string, k criterion) (rate float64, isCompared bool) {
	_, responses := k.count(&t.bins[i].routes[route].target)
	need := max(minCompared, comparedPart*responses)
	radius := 0
	bad, all := t.countOthers(i, radius, route, k)
	for all < need && float64(radius+1) <= maxRadius/max(responses, 1) {
		radius++
		bad, all = t.countOthers(i, radius, route, k)
	}
	// One bin has few responses, while three may hold some from before an event that hits all versions.
	widerBad, widerAll := t.countOthers(i, radius+1, route, k)
	return max(k.rate(bad, all), k.rate(widerBad, widerAll)), all >= need
}

// countOthers counts the responses of the other versions in a bin and some bins before and after it.
func (t *tracker) countOthers(i, radius int, route string, k criterion) (bad, all float64) {
	for _, b := range t.bins[max(0, i-radius):min(i+radius+1, len(t.bins))] {
		if compared := b.routes[route]; compared != nil {
			x, n := k.count(&compared.others)
			bad, all = bad+x, all+n
		}
	}
	return bad, all
}

// rate returns an estimate of the part of bad responses at a time from those of the other versions at that time.
func (k criterion) rate(bad, all float64) float64 {
	if bad < 2 || bad < 2*k.usual*all {
		const weight = 4 // responses at the usual rate
		return max(k.usual, (bad+weight*k.usual)/(all+weight))
	}
	// Something hits the other versions as well. The upper estimate of a few responses is taken then.
	mean := (bad + 1) / (all + 2)
	return max(k.usual, min(mean+math.Sqrt(mean*(1-mean)/(all+3)), maxRate))
}
