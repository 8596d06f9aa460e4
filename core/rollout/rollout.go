package rollout

import (
	"slices"
	"time"

	"radishhollow/core/kv"
)

// The reasons of a Change that no figures explain.
const (
	reasonOrdered    = "ordered"
	reasonWithdrawn  = "the order was withdrawn"
	reasonStore      = "the status in the store says so"
	reasonNoEndpoint = "the target has no ready endpoint"
	reasonHalf       = "nothing speaks against the target"
	reasonLikelier   = "the target is more likely good than bad"
	reasonWritten    = "completed was written to the store"
)

// The parts of the duration at which a roll-out goes on.
const (
	verdictPart  = 0.5
	latestPart   = 0.7
	completePart = 0.92
	// joinedPart is the latest part for a daemon that started during the roll-out. It is later so that a suspicion of the
	// others comes first.
	joinedPart = 0.94
)

// joinTime is the time after the start of this process within which an order counts as one that may be older than the
// process. The first view of a peer and the first read of the orders come within it.
const joinTime = 2 * time.Second

// rollout is the state of one roll-out.
type rollout struct {
	order Order
	// began is the time of the order as far as any daemon knows it, and learned the time at which this one learned of it.
	began, learned time.Time
	phase          Phase
	since          time.Time
	reason         string
	pace           *pace
	// members is the highest number of daemons that this one has known since it learned of the order.
	members int
	// checked states that the status in the store is known not to be a final one of this order, or need not be known. A
	// process that has just started does not know whether an order that it reads is an old one.
	checked bool
	// joined states that this process may have started during the roll-out. It has seen little then, so it gives no early
	// verdict.
	joined bool
	// announceUntil is the time until which peers get a final state, because one of them did not know it.
	announceUntil time.Time
	// lastVerdict is that of the last evaluation.
	lastVerdict verdict
	// isDue states that all requests go to the target and completed may be written, and wasDue that it once did.
	isDue, wasDue bool
	write         writer
}

func (r *rollout) part(part float64) time.Time {
	return r.began.Add(time.Duration(part * float64(r.order.Duration)))
}

// isSame reports whether an order is that of this roll-out. Revisions of a new era are those of a copy, so the order may
// have another one there.
func (r *rollout) isSame(o Order) bool {
	if r.order.Revision.SameEra(o.Revision) {
		return r.order.Revision.Compare(o.Revision) == 0
	}
	return r.order.Service == o.Service && r.order.Target == o.Target && r.order.Duration == o.Duration
}

// adoptOrder makes an order the current one of its service if it is newer. It returns the roll-out of the order, or nil if
// the order is older than the current one. The caller holds mu.
func (c *Controller) adoptOrder(s *service, o Order, now time.Time) *rollout {
	if r := s.current; r != nil && r.isSame(o) {
		r.order.Revision = kv.Latest(r.order.Revision, o.Revision)
		return r
	}
	if s.current != nil && !o.Revision.After(s.current.order.Revision) {
		return nil
	}
	r := s.takePast(o)
	if former := s.current; former != nil {
		if former.phase != Completed {
			s.barred[former.order.Target] = true
		}
		s.past = append([]*rollout{former}, s.past[:min(len(s.past), maxPast-1)]...)
	}
	s.current = r
	if r != nil {
		r.order.Revision = o.Revision
	} else {
		r = c.begin(s, o, now)
	}
	if r.phase != RolledBack {
		delete(s.barred, o.Target)
	}
	c.isNews = true
	return r
}

// begin begins a roll-out.
func (c *Controller) begin(s *service, o Order, now time.Time) *rollout {
	r := &rollout{order: o, began: now, learned: now, phase: Observing, since: now, pace: &pace{}}
	r.write.begin(now)
	s.current = r
	s.evidence.begin(o.Target, now)
	if now.Sub(c.contact.start(now)) >= joinTime {
		r.checked = true
		r.pace.tokens = place(c.members, o.Service+o.Revision.String(), c.Self)
	}
	r.joined = !r.checked
	c.setRate(r, now)
	c.record(s, 0, reasonOrdered, Figures{}, false, now)
	return r
}

// takePast removes and returns the earlier roll-out that an order of a later era belongs to, or nil.
func (s *service) takePast(o Order) *rollout {
	for i, r := range s.past {
		if !r.order.Revision.SameEra(o.Revision) && r.isSame(o) {
			s.past = slices.Delete(s.past, i, i+1)
			return r
		}
	}
	return nil
}

// setRate sets the allowance of this daemon: half of the share of its own requests, and its part of half of the slack,
// spread over the first half of the duration. Allowance accrues until the latest time of the verdict.
func (c *Controller) setRate(r *rollout, now time.Time) {
	if now.After(r.part(latestPart)) {
		r.pace.setRate(now, 0, 0)
		return
	}
	r.members = max(r.members, len(c.members), 1)
	r.pace.setRate(now, c.Slack/r.order.Duration.Seconds()/float64(r.members), c.Share/2)
}

// advance moves the current roll-out of a service to a later phase. The caller holds mu.
func (c *Controller) advance(s *service, to Phase, reason string, figures Figures, now time.Time) {
	r := s.current
	if to <= r.phase {
		return
	}
	from := r.phase
	r.phase, r.since, r.reason = to, now, reason
	r.write.begin(now)
	switch to {
	case RolledBack:
		s.barred[r.order.Target] = true
	case Completed:
		delete(s.barred, r.order.Target)
	}
	c.record(s, from, reason, figures, false, now)
	c.isNews = true
}

// record keeps a change for OnChange.
func (c *Controller) record(s *service, from Phase, reason string, figures Figures, fromPeer bool, now time.Time) {
	r := s.current
	c.changes = append(c.changes, Change{
		Service: s.name, Target: r.order.Target, Revision: r.order.Revision, From: from, To: r.phase,
		Age: now.Sub(r.began), Reason: reason, FromPeer: fromPeer, Figures: figures,
	})
}
