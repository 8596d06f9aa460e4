package rollout

import (
	"maps"
	"slices"
	"time"

	"radishhollow/core/evidence"
	"radishhollow/core/kv"
)

const (
	// allTime is the time for which all requests must have gone to the target before the roll-out is completed.
	allTime = 2 * time.Second
	// missingTime is the age of a daemon's last report after which its requests in flight no longer delay completion.
	missingTime = 3 * time.Second
	// verdictStep is the time after which the next daemon gives a positive verdict, so that one with unusual reports
	// rarely decides for all, and maxVerdictSteps is the number of steps for the last ones.
	verdictStep     = 150 * time.Millisecond
	maxVerdictSteps = 4
)

// Evaluate brings all roll-outs up to the present. It does not call the store.
func (c *Controller) Evaluate() {
	now := time.Now()
	c.contact.start(now)
	members := slices.Sorted(slices.Values(c.Members()))
	c.contact.recordEvaluation(now, len(members) > 1, min(silenceLimit, c.RollbackBound/2))
	configured := c.configured()
	names, active := c.names(configured)
	endpoints := map[string][]Endpoint{}
	for _, name := range names {
		endpoints[name] = c.Endpoints(name)
	}
	var reports []evidence.Report
	if active {
		reports = c.Reports()
	}
	var orders func() kv.Revision
	if c.OrdersRead != nil && c.Services != nil {
		read := c.OrdersRead()
		orders = func() kv.Revision { return read }
	}
	c.mu.Lock()
	c.members = members
	for _, name := range names {
		s := c.service(name)
		s.isMissing = configured != nil && !configured[name]
		s.observeEndpoints(endpoints[name], orders, now)
		c.evaluate(s, reports, now)
	}
	c.publish(now)
	c.unlockAndNotify()
}

// configured returns the services of the configuration, or nil if it is not known.
func (c *Controller) configured() map[string]bool {
	if c.Services == nil {
		return nil
	}
	configured := map[string]bool{}
	for _, name := range c.Services() {
		configured[name] = true
	}
	return configured
}

// names returns the services to evaluate, and whether any has a roll-out that has not ended.
func (c *Controller) names(configured map[string]bool) (names []string, active bool) {
	found := map[string]bool{}
	maps.Copy(found, configured)
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, s := range c.services {
		found[name] = true
		active = active || s.current != nil && !s.current.phase.IsFinal()
	}
	return slices.Sorted(maps.Keys(found)), active
}

// evaluate brings the roll-out of a service up to the present. The caller holds mu.
func (c *Controller) evaluate(s *service, reports []evidence.Report, now time.Time) {
	r := s.current
	if r == nil || r.phase.IsFinal() {
		return
	}
	if s.isMissing {
		r.began, r.learned, r.since = now, now, now
		return
	}
	listed := map[string]bool{}
	for _, e := range s.endpoints {
		listed[e.Incarnation] = true
	}
	s.evidence.add(s.name, reports, func(incarnation string) bool { return listed[incarnation] }, now)
	r.lastVerdict = s.evidence.judge()
	ready, _ := s.countReady()
	switch {
	case r.lastVerdict.isBad():
		c.rollBack(s, r.lastVerdict, now)
	case ready == 0 && !now.Before(r.part(completePart)):
		c.advance(s, RolledBack, reasonNoEndpoint, r.lastVerdict.figures, now)
	case r.phase == Observing && ready > 0:
		c.decide(s, now)
	case r.phase == Shifting:
		c.finish(s, ready, reports, now)
	}
}

func (c *Controller) rollBack(s *service, v verdict, now time.Time) {
	c.advance(s, RolledBack, v.reason(), v.figures, now)
}

// decide gives the verdict from half of the duration on.
func (c *Controller) decide(s *service, now time.Time) {
	r, v := s.current, s.current.lastVerdict
	steps := min(rank(c.members, s.name, c.Self), maxVerdictSteps)
	at := r.part(verdictPart).Add(time.Duration(steps) * verdictStep)
	switch {
	case now.Before(at) || !r.checked || !c.contact.isSettled(now):
	case v.evidence < suspicion && !r.joined:
		c.advance(s, Shifting, reasonHalf, v.figures, now)
	case now.Before(r.part(latestPart)):
	case v.evidence >= likelier:
		c.rollBack(s, v, now)
	default:
		c.advance(s, Shifting, reasonLikelier, v.figures, now)
	}
}

// finish decides whether a roll-out whose requests all go to the target may be completed.
func (c *Controller) finish(s *service, ready int, reports []evidence.Report, now time.Time) {
	r, v := s.current, s.current.lastVerdict
	// With a suspicion, peers get this daemon's report at once: requests go to the target at a high rate.
	c.isNews = c.isNews || v.evidence >= suspicion
	latest := completePart
	if r.joined {
		latest = joinedPart
	}
	isLatest := !now.Before(r.part(latest))
	if isLatest && v.evidence >= likelier {
		c.rollBack(s, v, now)
		return
	}
	isDone := !r.joined && now.Sub(r.since) >= shiftTime+allTime && v.evidence < suspicion && !hasInFlight(r, reports)
	isDue := ready > 0 && c.contact.isSettled(now) && (isDone || isLatest)
	if isDue && !r.wasDue {
		r.write.begin(now)
		r.wasDue = true
	}
	r.isDue = isDue
}

// hasInFlight reports whether any daemon has requests in flight on endpoints of other versions than the target.
func hasInFlight(r *rollout, reports []evidence.Report) bool {
	for _, report := range reports {
		for _, in := range report.InFlight {
			if in.Service == r.order.Service && in.Target == r.order.Target && in.Requests > 0 && report.Age < missingTime {
				return true
			}
		}
	}
	return false
}
