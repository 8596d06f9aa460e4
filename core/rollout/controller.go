// Package rollout decides how the requests of a service move from one version of its endpoints to another.
package rollout

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"radishhollow/core/evidence"
	"radishhollow/core/kv"
)

// evaluateInterval is the interval between evaluations.
const evaluateInterval = 200 * time.Millisecond

// Controller holds the roll-outs of all services and decides on them together with the controllers of the other daemons.
// The exported fields must be set before use. The functions must not call the Controller, except OnChange and OnNews. It is
// safe for concurrent use.
type Controller struct {
	// Self is the daemon's own address.
	Self string
	// Share is the part of all requests that a bad version may get, and Slack the number of requests that it may get
	// beyond that.
	Share, Slack float64
	// RollbackBound is the time after its 50th bad response after which a bad version gets no request.
	RollbackBound time.Duration
	// Members returns the addresses of all daemons that serve, with Self unless it stops.
	Members func() []string
	// Services returns the services of the configuration. It may be nil, in which case endpoints with a new version of a
	// service without an order are not held back.
	Services func() []string
	// Endpoints returns the listed endpoints of a service.
	Endpoints func(service string) []Endpoint
	// Reports returns the latest reports of all daemons, this one included.
	Reports func() []evidence.Report
	// OrdersRead returns the revision up to which this daemon has seen the orders in the platform's store. It may be nil,
	// in which case endpoints with a new version are not held back.
	OrdersRead func() kv.Revision
	// ReadStatus reads the status of a service and its revision, which is zero if there is none. A status that cannot be
	// decoded is returned as the zero Status with its revision.
	ReadStatus func(ctx context.Context, service string) (Status, kv.Revision, error)
	// WriteStatus writes the status of a service if its revision is ifRevision, and returns the new revision. A zero
	// ifRevision creates the key.
	WriteStatus func(ctx context.Context, service string, status Status, ifRevision kv.Revision) (kv.Revision, error)
	// OnChange is called when a roll-out has entered a phase. It may be nil.
	OnChange func(change Change)
	// OnNews is called when this daemon has something that peers should get at once. It may be nil.
	OnNews func()

	// scopes and contact are all that a pick reads, so that a pick never waits for an evaluation.
	scopes  atomic.Pointer[map[string]*scope]
	contact contact

	mu       sync.Mutex
	services map[string]*service
	// members is what Members last returned, in ascending order.
	members []string
	// changes and isNews are reported after mu is released.
	changes []Change
	isNews  bool
}

// Run evaluates the roll-outs and writes their status until its context ends. Until the first evaluation, a Rule allows all
// versions, so Evaluate must have been called with a list of the endpoints before the first pick.
func (c *Controller) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.loopWrite(ctx)
	}()
	c.loopEvaluate(ctx)
	<-done
	return nil
}

func (c *Controller) loopEvaluate(ctx context.Context) {
	ticker := time.NewTicker(evaluateInterval)
	defer ticker.Stop()
	for {
		c.Evaluate()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// ApplyOrder applies an order that was read from the store. Orders may come late, twice and in any order. It returns
// MalformedOrderError for an order that is not valid, which has no effect.
func (c *Controller) ApplyOrder(order Order) error {
	if err := order.Validate(); err != nil {
		return err
	}
	now := time.Now()
	c.contact.start(now)
	c.mu.Lock()
	s := c.service(order.Service)
	if r := c.adoptOrder(s, order, now); r != nil {
		if s.withdrawn.SameEra(r.order.Revision) && s.withdrawn.After(r.order.Revision) {
			c.advance(s, RolledBack, reasonWithdrawn, Figures{}, now)
		}
		c.adoptStatus(s, now)
	}
	c.publish(now)
	c.unlockAndNotify()
	c.Evaluate()
	return nil
}

// WithdrawOrder applies the deletion of a service's order, of which revision is the revision. A revision of a later era
// than the order's has no effect: there, the store has forgotten the order.
func (c *Controller) WithdrawOrder(service string, revision kv.Revision) {
	now := time.Now()
	c.mu.Lock()
	s := c.service(service)
	s.withdrawn = kv.Latest(s.withdrawn, revision)
	r := s.current
	if r != nil && revision.SameEra(r.order.Revision) && revision.After(r.order.Revision) {
		c.advance(s, RolledBack, reasonWithdrawn, Figures{}, now)
	}
	c.publish(now)
	c.unlockAndNotify()
}

// ApplyStatus applies a status that was read from the store.
func (c *Controller) ApplyStatus(service string, status Status, revision kv.Revision) {
	now := time.Now()
	c.mu.Lock()
	c.observeStatus(c.service(service), status, revision, now)
	c.publish(now)
	c.unlockAndNotify()
}

// service returns the record of a service, which it creates if there is none.
func (c *Controller) service(name string) *service {
	s := c.services[name]
	if s == nil {
		if c.services == nil {
			c.services = map[string]*service{}
		}
		s = &service{name: name, barred: map[string]bool{}, versions: map[string]*version{}}
		c.services[name] = s
	}
	return s
}

// unlockAndNotify releases mu and reports what has changed.
func (c *Controller) unlockAndNotify() {
	changes, isNews := c.changes, c.isNews
	c.changes, c.isNews = nil, false
	c.mu.Unlock()
	if c.OnChange != nil {
		for _, change := range changes {
			c.OnChange(change)
		}
	}
	if isNews && c.OnNews != nil {
		c.OnNews()
	}
}
