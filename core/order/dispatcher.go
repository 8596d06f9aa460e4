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
	// DefaultRepeatAfter is longer than the delay of the load reports, so that a report can show the effect of an order
	// before the order is repeated.
	DefaultRepeatAfter = 15 * time.Second
	// DefaultTakeoverDelay gives the reports time to show an earlier holder's orders, which would otherwise not count
	// as loading.
	DefaultTakeoverDelay = 5 * time.Second
	// DefaultVersionDrain allows for generations that run for minutes.
	DefaultVersionDrain = 10 * time.Minute
	// DefaultOrderTimeout equals the time that a new lease holder waits for an earlier holder's last order.
	DefaultOrderTimeout = 10 * time.Second
)

// ClassRefused is passed to Observe for an order whose send failed. For other orders the class is the order's kind.
const ClassRefused = "refused"

// Dispatcher sends the planner's orders while this instance holds the lease of the place. Its exported fields must be
// set before Run. A duration of zero means its default.
type Dispatcher struct {
	Planner *Planner
	// Document returns the configuration in force.
	Document func() config.Document
	// Reports returns the latest report of every endpoint that sends reports.
	Reports func() []route.Report
	// Check returns the fencing token if this instance may send an order now, as lease.Holder.Check does.
	Check func(fencing bool) (uint64, error)
	// Send sends one order to its endpoint.
	Send func(ctx context.Context, order Order, token uint64) error
	// Observe is called with the class of each order after its send. It may be nil.
	Observe func(class string)
	// Interval is the time between two plans.
	Interval time.Duration
	// RepeatAfter is the time after which an order that no report shows is sent again.
	RepeatAfter time.Duration
	// TakeoverDelay is the time between the acquisition of the lease and the first order.
	TakeoverDelay time.Duration
	// OrderTimeout limits the time from the check before a send to the end of the send.
	OrderTimeout time.Duration
	// VersionDrain is the longest wait for streams that cannot resume on another endpoint.
	VersionDrain time.Duration

	// Only Run uses the fields below.
	limiter      *rate.Limiter // limits the orders that read from the weight store
	token        uint64        // fencing token with which the orders in sent were sent
	takeoverEnds time.Time
	sent         map[string]sentOrder // orders that no report shows yet, by address
	// drainStarts holds the time at which the planner first waited for the streams of an endpoint, by address.
	// nextDrainStarts collects the entries that the current plan still needs.
	drainStarts     map[string]time.Time
	nextDrainStarts map[string]time.Time
}

// sentOrder is the last order that was sent to an address.
type sentOrder struct {
	order  Order
	sentAt time.Time
}

// Run sets Planner.MayInterrupt, and plans and sends orders periodically until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(cmp.Or(d.Interval, DefaultInterval))
	defer ticker.Stop()
	d.limiter = rate.NewLimiter(0, 1)
	d.Planner.MayInterrupt = d.mayInterrupt
	for {
		select {
		case <-ticker.C:
			d.dispatch(ctx)
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
}

// dispatch plans and sends the orders that are due. It queues nothing, so that no order is based on outdated reports.
func (d *Dispatcher) dispatch(ctx context.Context) {
	token, err := d.Check(true)
	if err != nil {
		return
	}
	now := time.Now()
	if token != d.token {
		d.token, d.sent = token, make(map[string]sentOrder)
		d.takeoverEnds = now.Add(cmp.Or(d.TakeoverDelay, DefaultTakeoverDelay))
	}
	if now.Before(d.takeoverEnds) {
		return
	}
	doc := d.Document()
	d.limiter.SetLimit(loadRateLimit(doc))
	for _, o := range d.plan(doc) {
		if last, ok := d.sent[o.Address]; ok && last.order == o && now.Sub(last.sentAt) < d.repeatAfter() {
			continue
		}
		if _, err := d.Check(o.Fencing); err != nil {
			// The check precedes the rate limit, so that an order that must wait uses none of the rate.
			continue
		}
		if o.readsWeights() && !d.limiter.Allow() {
			continue
		}
		if !d.send(ctx, o) {
			return
		}
	}
}

// plan returns the orders for the current reports and drops sent orders that the reports already show. Sent orders that
// are not yet in the reports are passed to the planner as pending.
func (d *Dispatcher) plan(doc config.Document) []Order {
	reports := d.Reports()
	pending := make(map[string]bool, len(d.sent))
	for address := range d.sent {
		pending[address] = true
	}
	d.nextDrainStarts = make(map[string]time.Time)
	orders := d.Planner.Plan(doc, reports, pending)
	d.drainStarts = d.nextDrainStarts
	unconfirmed := make(map[string]sentOrder, len(d.sent))
	for _, o := range orders {
		if last, ok := d.sent[o.Address]; ok && last.order == o {
			unconfirmed[o.Address] = last
		}
	}
	d.sent = unconfirmed
	return orders
}

// mayInterrupt reports whether the wait for an endpoint's streams has lasted for VersionDrain. The planner calls it for
// each endpoint whose streams an order would end. The wait starts with the first call and is reset by a plan that makes
// no call for the endpoint.
func (d *Dispatcher) mayInterrupt(address string) bool {
	since, waiting := d.drainStarts[address]
	if !waiting {
		since = time.Now()
	}
	d.nextDrainStarts[address] = since
	return time.Since(since) >= cmp.Or(d.VersionDrain, DefaultVersionDrain)
}

// send checks the lease immediately before it sends the order, and returns false if the check fails or returns the
// token of another lease. The timeout starts before the check, so that it has expired if the instance is paused too
// long between the check and the send.
func (d *Dispatcher) send(ctx context.Context, o Order) bool {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(d.OrderTimeout, DefaultOrderTimeout))
	defer cancel()
	token, err := d.Check(o.Fencing)
	if err != nil || token != d.token {
		return false
	}
	// The order is recorded even if the send fails, because the engine may have accepted it and its response was lost.
	d.sent[o.Address] = sentOrder{order: o, sentAt: time.Now()}
	err = d.Send(ctx, o, token)
	class := string(o.Kind)
	if err != nil {
		class = ClassRefused
	}
	if d.Observe != nil {
		d.Observe(class)
	}
	return true
}

// loadRateLimit returns this place's share of the system-wide rate limit of the weight store. A setting of 0, which
// occurs only without a sheet, means no limit.
func loadRateLimit(doc config.Document) rate.Limit {
	perMinute := doc.Settings().WeightLoadsPerMinute
	if perMinute == 0 {
		return rate.Inf
	}
	return rate.Limit(perMinute / 60 / float64(max(1, len(doc.Fields().Places))))
}

func (d *Dispatcher) repeatAfter() time.Duration { return cmp.Or(d.RepeatAfter, DefaultRepeatAfter) }
