package rollout

import (
	"time"

	"radishhollow/core/kv"
)

const (
	// announceTime is the time for which peers get a final state after it began, or after one of them did not know it.
	announceTime = time.Minute
	// maxStates bounds the states of one message that are read.
	maxStates = 1024
	// maxReason bounds the text of a reason.
	maxReason = 512
)

// States returns the states of all roll-outs for a peer. Those that have ended are left out after some time, once they are
// in the store.
func (c *Controller) States() []State {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var states []State
	for _, s := range c.services {
		r := s.current
		if r == nil || s.isMissing || r.phase.IsFinal() && s.isWritten(r) && now.Sub(r.since) > announceTime && now.After(r.announceUntil) {
			continue
		}
		states = append(states, State{
			Service: s.name, Target: r.order.Target, Revision: r.order.Revision, Duration: r.order.Duration,
			Age: now.Sub(r.began), Phase: r.phase, PhaseAge: now.Sub(r.since), Reason: r.reason,
		})
	}
	return states
}

func (s State) isValid() bool {
	order := Order{Service: s.Service, Target: s.Target, Duration: s.Duration, Revision: s.Revision}
	return order.Validate() == nil && s.Phase >= Observing && s.Phase <= Completed && s.Age >= 0 && s.PhaseAge >= 0
}

// Merge adds the states in a peer's view, and reports whether there were news among them, which other peers should get
// soon. It must be called for each view, also for one without states: a daemon that hears from no peer sends nothing to a
// target.
func (c *Controller) Merge(states []State) (news bool) {
	now := time.Now()
	c.contact.recordView(now)
	if len(states) == 0 {
		return false
	}
	c.mu.Lock()
	for _, state := range states[:min(len(states), maxStates)] {
		if state.isValid() {
			news = c.merge(state, now) || news
		}
	}
	if news {
		c.publish(now)
	}
	c.isNews = false // the caller passes the news on
	c.unlockAndNotify()
	return news
}

// merge applies the state of one roll-out. The caller holds mu.
func (c *Controller) merge(state State, now time.Time) (news bool) {
	s := c.service(state.Service)
	before := s.current
	order := Order{Service: state.Service, Target: state.Target, Duration: state.Duration, Revision: state.Revision}
	var revision kv.Revision
	if before != nil {
		revision = before.order.Revision
	}
	r := c.adoptOrder(s, order, now)
	if r == nil {
		before.announceUntil = now.Add(announceTime)
		return false
	}
	news = r != before || r.order.Revision != revision
	if began := now.Add(-state.Age); began.Before(r.began) {
		r.began = began
	}
	if s.withdrawn.SameEra(r.order.Revision) && s.withdrawn.After(r.order.Revision) {
		c.advance(s, RolledBack, reasonWithdrawn, Figures{}, now)
	}
	return c.mergePhase(s, state, now) || news
}

// mergePhase adopts a peer's phase if it is more advanced. The caller holds mu.
func (c *Controller) mergePhase(s *service, state State, now time.Time) (news bool) {
	r := s.current
	switch {
	case state.Phase < r.phase:
		if r.phase.IsFinal() {
			r.announceUntil = now.Add(announceTime)
		}
		return false
	case state.Phase == r.phase:
		if since := now.Add(-state.PhaseAge); since.Before(r.since) && r.phase == Shifting {
			r.since = since
		}
		return false
	}
	from := r.phase
	c.advance(s, state.Phase, state.Reason[:min(len(state.Reason), maxReason)], Figures{}, now)
	r.since = now.Add(-state.PhaseAge)
	c.changes[len(c.changes)-1].FromPeer = from != 0
	return true
}
