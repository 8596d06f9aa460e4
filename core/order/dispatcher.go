package order

import (
	"cmp"
	"context"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"radishhollow/core/config"
	"radishhollow/core/route"
)

// Defaults of Dispatcher.
const (
	DefaultInterval = time.Second
	// DefaultRepeatAfter is above the lag of the load reports, so that a report has time to show an order.
	DefaultRepeatAfter = 15 * time.Second
	// DefaultSettle lets the reports show an earlier holder's orders, which would else not count as loading.
	DefaultSettle = 5 * time.Second
	// DefaultVersionDrain covers generations that run for minutes.
	DefaultVersionDrain = 10 * time.Minute
	// DefaultLongestOrder equals the time that a new lease holder waits for an earlier holder's last order.
	DefaultLongestOrder = 10 * time.Second
)

// ClassRefused is told to Observe for an order that an engine did not accept; other classes are the orders' kinds.
const ClassRefused = "refused"

// Dispatcher sends the planner's orders while this instance holds the place's lease. The fields are set before Run.
type Dispatcher struct {
	Planner *Planner
	// Document returns the configuration in force.
	Document func() config.Document
	// Reports returns the latest report of every endpoint that is heard from.
	Reports func() []route.Report
	// Check returns the fencing token if this instance may act now; lease.Holder.Check fits.
	Check func(fencing bool) (uint64, error)
	// Send sends one order to its endpoint.
	Send func(ctx context.Context, order Order, fence uint64) error
	// Observe is told the class of each order; it may be nil.
	Observe     func(class string)
	Interval    time.Duration
	RepeatAfter time.Duration
	TakeoverDelay      time.Duration
	// OrderTimeout bounds the time from the check to the end of a send.
	OrderTimeout time.Duration
	// VersionDrain bounds the wait for streams that could resume nowhere else.
	VersionDrain time.Duration

	limiter *rate.Limiter
	fence   uint64
	settled time.Time
	sent    map[string]sent
	// draining holds the time at which the planner first waited for an endpoint's streams.
	draining map[string]time.Time
	asked    map[string]time.Time
}

// sent is the last order to an address.
type sent struct {
	order Order
	at    time.Time
}

// Run plans and sends until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(cmp.Or(d.Interval, DefaultInterval))
	defer ticker.Stop()
	d.limiter = rate.NewLimiter(0, 1)
	d.Planner.MayInterrupt = d.mayInterrupt
	for {
		select {
		case <-ticker.C:
			d.step(ctx)
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
}

// step sends what is due now. Nothing is queued, so that no order is older than the reports that led to it.
func (d *Dispatcher) step(ctx context.Context) {
	fence, err := d.Check(true)
	if err != nil {
		return
	}
	now := time.Now()
	if fence != d.fence {
		d.fence, d.sent = fence, make(map[string]sent)
		d.settled = now.Add(cmp.Or(d.TakeoverDelay, DefaultSettle))
	}
	if now.Before(d.settled) {
		return
	}
	doc := d.Document()
	d.limiter.SetLimit(loadRate(doc))
	for _, o := range d.plan(doc) {
		if last, ok := d.sent[o.Address]; ok && last.order == o && now.Sub(last.at) < d.repeatAfter() {
			continue
		}
		if _, err := d.Check(o.Fencing); err != nil {
			// Checked before the limit, so that an order that has to wait takes none of the rate.
			continue
		}
		if o.loads() && !d.limiter.Allow() {
			continue
		}
		if !d.send(ctx, o) {
			return
		}
	}
}

// plan forgets the orders that the reports show, and plans with those that are still open.
func (d *Dispatcher) plan(doc config.Document) []Order {
	reports := d.Reports()
	busy := make(map[string]bool, len(d.sent))
	for address := range d.sent {
		busy[address] = true
	}
	d.asked = make(map[string]time.Time)
	orders := d.Planner.Plan(doc, reports, busy)
	d.draining = d.asked
	open := make(map[string]sent, len(d.sent))
	for _, o := range orders {
		if last, ok := d.sent[o.Address]; ok && last.order == o {
			open[o.Address] = last
		}
	}
	d.sent = open
	return orders
}

// mayInterrupt is asked by the planner for each endpoint that still has streams. The wait starts with the first ask and
// ends with the first plan that does not ask.
func (d *Dispatcher) mayInterrupt(address string) bool {
	since, waiting := d.draining[address]
	if !waiting {
		since = time.Now()
	}
	d.asked[address] = since
	return time.Since(since) >= cmp.Or(d.VersionDrain, DefaultVersionDrain)
}

// send checks the lease immediately before the send. The time limit starts before the check, so that an instance that
// is paused between the two finds its time over when it wakes.
func (d *Dispatcher) send(ctx context.Context, o Order) bool {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(d.OrderTimeout, DefaultLongestOrder))
	defer cancel()
	fence, err := d.Check(o.Fencing)
	if err != nil || fence != d.fence {
		return false
	}
	// Kept also after an error, because the engine may have accepted an order whose answer was lost.
	d.sent[o.Address] = sent{order: o, at: time.Now()}
	err = d.Send(ctx, o, fence)
	class := string(o.Kind)
	if err != nil {
		class = ClassRefused
	}
	if d.Observe != nil {
		d.Observe(class)
	}
	return true
}

// loadRate is this place's part of the weight store's limit, which holds for the whole system. Zero means no limit.
func loadRate(doc config.Document) rate.Limit {
	perMinute := doc.Settings().WeightLoadsPerMinute
	if perMinute == 0 {
		return rate.Inf
	}
	return rate.Limit(perMinute / 60 / float64(max(1, len(doc.Fields().Places))))
}

func (d *Dispatcher) repeatAfter() time.Duration { return cmp.Or(d.RepeatAfter, DefaultRepeatAfter) }
