package rollout

import (
	"time"

	"radishhollow/core/evidence"
)

const (
	// binTime is the interval over which versions are compared, that of the views.
	binTime = 500 * time.Millisecond
	// maxBins bounds the bins that are kept, which are those of the last two minutes.
	maxBins = 240
	// reporterTime is the time after which the last report of a daemon that is no longer heard from is dropped.
	reporterTime = 30 * time.Second
)

// counts are the results of requests in some time.
type counts struct {
	requests, failures, slow uint64
	durations                [evidence.BucketCount]uint64
}

func (c *counts) add(d *counts) {
	c.requests += d.requests
	c.failures += d.failures
	c.slow += d.slow
	for i, n := range d.durations {
		c.durations[i] += n
	}
}

// growth returns what has been added to a tally. Counts that have shrunk count as no growth.
func growth(before, after *evidence.Tally) counts {
	grown := counts{
		requests: less(after.Requests, before.Requests), failures: less(after.Failures, before.Failures),
		slow: less(after.Slow, before.Slow),
	}
	for i := range grown.durations {
		grown.durations[i] = less(after.Durations[i], before.Durations[i])
	}
	return grown
}

func less(a, b uint64) uint64 {
	if a < b {
		return 0
	}
	return a - b
}

// reporter is a start of a daemon that has sent reports.
type reporter struct {
	sequence uint64
	seenAt   time.Time
	tallies  []evidence.Tally
}

// find returns the tally with a key in the last report, or an empty one. Tallies mostly keep their places.
func (r *reporter) find(key *evidence.Key, place int) *evidence.Tally {
	if place < len(r.tallies) && r.tallies[place].Key == *key {
		return &r.tallies[place]
	}
	for i := range r.tallies {
		if r.tallies[i].Key == *key {
			return &r.tallies[i]
		}
	}
	return &evidence.Tally{}
}

// comparison holds the results of the target and of the other versions on one route in some time. Those of the target are
// kept by endpoint and by daemon as well.
type comparison struct {
	others, target counts
	byEndpoint     map[string]*counts
	byDaemon       map[string]*counts
}

// bin holds the comparisons of an interval by route.
type bin struct {
	at     time.Time
	routes map[string]*comparison
}

// tracker keeps the growth of the tallies of one service while it has a roll-out.
type tracker struct {
	target    string
	reporters map[string]*reporter
	bins      []*bin
	// others holds the sums of the other versions since the order, by route.
	others map[string]*counts
}

// begin starts the comparison with a new target. What the reporters have sent before does not count again.
func (t *tracker) begin(target string, now time.Time) {
	t.target, t.others = target, map[string]*counts{}
	t.bins = []*bin{{at: now, routes: map[string]*comparison{}}}
	if t.reporters == nil {
		t.reporters = map[string]*reporter{}
	}
}

// add adds what is new in the reports. isListed tells whether an endpoint of the target is listed.
func (t *tracker) add(service string, reports []evidence.Report, isListed func(incarnation string) bool, now time.Time) {
	if last := t.bins[len(t.bins)-1]; now.Sub(last.at) >= binTime {
		t.bins = append(t.bins, &bin{at: now, routes: map[string]*comparison{}})
		t.bins = t.bins[max(0, len(t.bins)-maxBins):]
	}
	for i := range reports {
		t.addReport(service, &reports[i], isListed, now)
	}
	for key, r := range t.reporters {
		if now.Sub(r.seenAt) > reporterTime {
			delete(t.reporters, key)
		}
	}
}

func (t *tracker) addReport(service string, report *evidence.Report, isListed func(string) bool, now time.Time) {
	key := report.Daemon + "\x00" + report.Incarnation
	r := t.reporters[key]
	if r == nil {
		r = &reporter{}
		t.reporters[key] = r
	}
	r.seenAt = now
	if r.sequence != 0 && report.Sequence <= r.sequence {
		return
	}
	place := 0
	tallies := make([]evidence.Tally, 0, len(r.tallies))
	for i := range report.Tallies {
		tally := &report.Tallies[i]
		if tally.Service != service {
			continue
		}
		if tally.Version != t.target || isListed(tally.Endpoint) {
			grown := growth(r.find(&tally.Key, place), tally)
			t.addGrowth(&tally.Key, report.Daemon, &grown)
		}
		tallies = append(tallies, *tally)
		place++
	}
	r.sequence, r.tallies = report.Sequence, tallies
}

// addGrowth adds results to the last bin.
func (t *tracker) addGrowth(key *evidence.Key, daemon string, grown *counts) {
	if grown.requests == 0 {
		return
	}
	routes := t.bins[len(t.bins)-1].routes
	compared := routes[key.Route]
	if compared == nil {
		compared = &comparison{byEndpoint: map[string]*counts{}, byDaemon: map[string]*counts{}}
		routes[key.Route] = compared
	}
	if key.Version != t.target {
		compared.others.add(grown)
		addTo(t.others, key.Route, grown)
		return
	}
	compared.target.add(grown)
	addTo(compared.byEndpoint, key.Endpoint, grown)
	addTo(compared.byDaemon, daemon, grown)
}

func addTo(sums map[string]*counts, key string, grown *counts) {
	sum := sums[key]
	if sum == nil {
		sum = &counts{}
		sums[key] = sum
	}
	sum.add(grown)
}
