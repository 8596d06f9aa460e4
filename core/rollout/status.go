package rollout

import (
	"context"
	"time"

	"radishhollow/core/kv"
)

const (
	// takeoverTime is the time after which the next daemon writes a status that it does not see written.
	takeoverTime = 1500 * time.Millisecond
	// maxWriters is the number of daemons that write a status one after the other. It is above three because the store may
	// refuse some daemons.
	maxWriters = 8
	// minRetry and maxRetry bound the time between two tries to write; it doubles. Each call of the store is priced.
	minRetry, maxRetry = 200 * time.Millisecond, time.Second
	// urgentTime is the time before the end of the duration in which tries are not spaced out.
	urgentTime = 2 * time.Second
	// callTimeout is the time after which a call of the store is given up.
	callTimeout = time.Second
	// writeInterval is the interval between looks for a status to write.
	writeInterval = 50 * time.Millisecond
)

// writer is when this daemon may write the status of a roll-out.
type writer struct {
	// since is the time since when the status is out of date.
	since, nextTry time.Time
	retry          time.Duration
}

func (w *writer) begin(now time.Time) { *w = writer{since: now, nextTry: now, retry: minRetry} }

// delay sets the time of the next try. Shortly before the end of the duration, tries are as frequent as they get.
func (w *writer) delay(now, end time.Time) {
	if left := end.Sub(now); left > 0 && left < urgentTime {
		w.retry = minRetry
	}
	w.nextTry = now.Add(w.retry)
	w.retry = min(2*w.retry, maxRetry)
}

// wanted returns the state that the status should have. due states that completed may be written.
func (r *rollout) wanted(due bool) StatusState {
	switch {
	case r.phase == RolledBack:
		return StatusRolledBack
	case r.phase == Completed || due:
		return StatusCompleted
	default:
		return StatusServing
	}
}

// isStatusOf reports whether the stored status was written for a roll-out. It can't be told across eras.
func (s *service) isStatusOf(r *rollout) bool {
	return s.isStatusKnown && s.status.Target == r.order.Target && s.statusRevision.SameEra(r.order.Revision) &&
		s.statusRevision.After(r.order.Revision)
}

// isWritten reports whether the stored status is the one that a roll-out ends with.
func (s *service) isWritten(r *rollout) bool {
	return s.isStatusKnown && s.status == Status{State: r.wanted(false), Target: r.order.Target} &&
		(s.isStatusOf(r) || !s.statusRevision.SameEra(r.order.Revision))
}

// observeStatus records what the store holds. The caller holds mu.
func (c *Controller) observeStatus(s *service, status Status, revision kv.Revision, now time.Time) {
	if s.isStatusKnown && !revision.IsZero() && revision.Before(s.statusRevision) {
		return
	}
	s.status, s.statusRevision, s.isStatusKnown = status, revision, true
	if s.current == nil && status.State == StatusRolledBack {
		s.barred[status.Target] = true
	}
	c.adoptStatus(s, now)
}

// adoptStatus applies the stored status to the roll-out that it was written for. The caller holds mu.
func (c *Controller) adoptStatus(s *service, now time.Time) {
	r := s.current
	if r == nil || !s.isStatusOf(r) {
		return
	}
	r.checked = true
	c.adoptFinal(s, s.status.State, reasonStore, now)
}

// adoptFinal ends the current roll-out if a state that is in the store is final. The caller holds mu.
func (c *Controller) adoptFinal(s *service, state StatusState, reason string, now time.Time) {
	switch state {
	case StatusCompleted:
		c.advance(s, Completed, reason, Figures{}, now)
	case StatusRolledBack:
		c.advance(s, RolledBack, reason, Figures{}, now)
	}
}

// writeTurn returns the time at which this daemon writes. Where the usual steps would pass the end of the duration, they
// are shorter.
func (c *Controller) writeTurn(r *rollout) time.Time {
	step := takeoverTime
	if left := r.began.Add(r.order.Duration).Sub(r.write.since); left > 0 && r.phase != Observing {
		step = min(step, left/4)
	}
	position := rank(c.members, r.order.Service, c.Self)
	if position >= maxWriters {
		return r.write.since.Add(24 * time.Hour * 365)
	}
	return r.write.since.Add(time.Duration(position) * step)
}

// task is a call of the store that is due.
type task struct {
	service string
	order   kv.Revision
}

// dueTasks returns the services whose status should be read or written now.
func (c *Controller) dueTasks(now time.Time) []task {
	c.mu.Lock()
	defer c.mu.Unlock()
	var tasks []task
	for name, s := range c.services {
		r := s.current
		if r == nil || s.isMissing || now.Before(r.write.nextTry) {
			continue
		}
		isWriter := !s.isStored(r) && !now.Before(c.writeTurn(r))
		if isWriter || !r.checked {
			tasks = append(tasks, task{service: name, order: r.order.Revision})
		}
	}
	return tasks
}

// isStored reports whether there is nothing to write. A final status of the same order is never replaced.
func (s *service) isStored(r *rollout) bool {
	if s.isStatusOf(r) && s.status.State.IsFinal() {
		return true
	}
	return s.isWritten(r) && (r.phase.IsFinal() || !r.isDue)
}

// perform reads the status of a service and writes it if it should be another one.
func (c *Controller) perform(ctx context.Context, t task) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, revision, err := c.ReadStatus(ctx, t.service)
	now := time.Now()
	wanted, write := c.afterRead(t, status, revision, err, now)
	if !write {
		return
	}
	written, err := c.WriteStatus(ctx, t.service, wanted, revision)
	now = time.Now()
	c.mu.Lock()
	if s := c.service(t.service); err == nil {
		if s.current != nil && s.current.order.Revision == t.order {
			c.adoptFinal(s, wanted.State, reasonWritten, now)
		}
		c.observeStatus(s, wanted, written, now)
	}
	c.publish(now)
	c.unlockAndNotify()
}

// afterRead applies a status that was read, and returns the one to write in its place.
func (c *Controller) afterRead(t task, status Status, revision kv.Revision, err error, now time.Time) (Status, bool) {
	c.mu.Lock()
	defer c.unlockAndNotify()
	s := c.service(t.service)
	r := s.current
	if r == nil {
		return Status{}, false
	}
	r.write.delay(now, r.began.Add(r.order.Duration))
	if err != nil {
		return Status{}, false
	}
	if revision.IsZero() {
		s.isStatusKnown = false
	}
	c.observeStatus(s, status, revision, now)
	r.checked = true
	defer c.publish(now)
	if s.isStored(r) || now.Before(c.writeTurn(r)) {
		return Status{}, false
	}
	wanted := Status{State: r.wanted(r.isDue), Target: r.order.Target}
	if !s.status.State.IsFinal() || s.status.Target != wanted.Target || revision.SameEra(r.order.Revision) {
		return wanted, true
	}
	// The store has come back from a copy, in which the order's revision is not known. The status may be the final one of
	// this order, so only another final state replaces it.
	if s.status == wanted {
		c.adoptFinal(s, wanted.State, reasonStore, now)
	}
	return wanted, s.status != wanted && wanted.State.IsFinal()
}

// loopWrite writes the statuses that are due until its context ends.
func (c *Controller) loopWrite(ctx context.Context) {
	ticker := time.NewTicker(writeInterval)
	defer ticker.Stop()
	for {
		for _, t := range c.dueTasks(time.Now()) {
			c.perform(ctx, t)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
