package evidence

import "math"

// Kinds of bad results.
const (
	KindFailing = "failing"
	KindSlow    = "slow"
)

const (
	// minBad is the least number of bad results that condemn an endpoint.
	minBad = 4
	// failingMargin and slowMargin are the least excess of the share of bad results over that of the other endpoints. The
	// durations of prompts and the queues of engines vary, so slowness must be more evident.
	failingMargin = 0.2
	slowMargin    = 0.5
	// maxChance is the highest probability with which chance may put as many of the bad results on the endpoint if it were no
	// worse than the others. Judge compares some ten thousand times in ten minutes.
	maxChance = 1e-6
	// maxConfirmingChance is that for what all daemons but the one with the most bad results have seen. With 1e-3 a fault of one
	// daemon of 27 condemned an endpoint within 20 s, together with the usual failures of its route.
	maxConfirmingChance = 1e-5
	// minOthers is the least number of requests to the other endpoints with which an endpoint is compared.
	minOthers = 5
	// minConfirming is the least number of bad results that daemons other than the one with the most must have seen.
	minConfirming = 2
)

// comparison holds the figures of one endpoint on one route, and those of the other endpoints, by daemon.
type comparison struct {
	kind          string
	daemons       []string
	own, others   map[string]figures
	total, remain figures
}

func (c *comparison) bad(f figures) int {
	if c.kind == KindFailing {
		return f.failures
	}
	return f.slow
}

func (c *comparison) margin() float64 {
	if c.kind == KindFailing {
		return failingMargin
	}
	return slowMargin
}

// excess returns the share of bad results less that of the others.
func (c *comparison) excess(own, others figures) float64 {
	return float64(c.bad(own))/float64(max(own.requests, 1)) - float64(c.bad(others))/float64(max(others.requests, 1))
}

// isWorse reports whether the endpoint is clearly worse than the others. What the daemon with the most bad results reports must
// be confirmed by the other daemons that send to the endpoint, since its own fault may look like one of the endpoints. If only
// one daemon sends to it, mayBeAlone decides.
func (c *comparison) isWorse(mayBeAlone bool) bool {
	bad := c.bad(c.total)
	if bad < minBad || c.remain.requests < minOthers || c.excess(c.total, c.remain) < c.margin() ||
		c.chance(c.total, c.remain) > maxChance {
		return false
	}
	senders, witnesses := c.countDaemons()
	if senders < 2 {
		return mayBeAlone
	}
	worst := c.worstDaemon()
	own, others := c.total.without(c.own[worst]), c.remain.without(c.others[worst])
	return witnesses >= 2 && c.bad(own) >= minConfirming && c.excess(own, others) >= c.margin()/2 &&
		c.chance(own, others) <= maxConfirmingChance
}

// chance returns the probability that at least as many of the bad results fall on the endpoint by chance (Fisher's exact test).
func (c *comparison) chance(own, others figures) float64 {
	n, all, bad := own.requests, own.requests+others.requests, c.bad(own)+c.bad(others)
	if c.bad(own) > n || bad > all {
		// Streams that were answered before the window broke within it.
		n, all = max(n, c.bad(own)), max(all, bad, c.bad(own))
	}
	sum := 0.0
	for k := c.bad(own); k <= min(n, bad); k++ {
		sum += math.Exp(logChoose(bad, k) + logChoose(all-bad, n-k) - logChoose(all, n))
	}
	return sum
}

// logChoose returns the logarithm of the number of ways to choose k of n.
func logChoose(n, k int) float64 {
	if k < 0 || k > n {
		return math.Inf(-1)
	}
	a, _ := math.Lgamma(float64(n + 1))
	b, _ := math.Lgamma(float64(k + 1))
	c, _ := math.Lgamma(float64(n - k + 1))
	return a - b - c
}

// countDaemons returns the number of daemons that have sent requests to the endpoint, and of those with bad results.
func (c *comparison) countDaemons() (senders, witnesses int) {
	for _, f := range c.own {
		if f.requests+f.bad() > 0 {
			senders++
		}
		if c.bad(f) > 0 {
			witnesses++
		}
	}
	return senders, witnesses
}

// worstDaemon returns the daemon with the most bad results of the endpoint.
func (c *comparison) worstDaemon() string {
	worst := ""
	for _, daemon := range c.daemons {
		if c.bad(c.own[daemon]) > c.bad(c.own[worst]) {
			worst = daemon
		}
	}
	return worst
}
