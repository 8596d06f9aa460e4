package version

import (
	"context"
	"math/rand/v2"
	"time"

	"radishhollow/core/clock"
)

// loopUpkeep keeps the histories up to date.
func (r *Register) loopUpkeep(ctx context.Context) {
	for clock.Sleep(ctx, upkeepInterval) == nil {
		r.dropOld()
		r.recordAnew(ctx)
		for _, name := range r.Services() {
			r.upkeep(ctx, name)
		}
	}
}

// upkeep reads the history of a service that is not known, confirms it in a new era, and replaces it once another version
// has been alone for as long as a stream can exist. A failed call is made again at a later turn.
func (r *Register) upkeep(ctx context.Context, name string) {
	r.mu.Lock()
	now := time.Now()
	s := r.observe(name, now)
	report := s.report
	duty := r.nextDuty(s, now)
	r.mu.Unlock()
	if duty != nil {
		duty(ctx, report)
	}
}

// nextDuty returns what is to be done for the history of a service now, or nil. The caller must hold mu.
func (r *Register) nextDuty(s *service, now time.Time) func(ctx context.Context, report Report) {
	if !s.known {
		if len(s.listed) == 0 || now.Before(s.due) {
			return nil
		}
		return func(ctx context.Context, _ Report) { _ = r.awaitHistory(ctx, s.name) }
	}
	duty, delay, spread := r.confirm, confirmDelay, confirmSpread
	switch {
	case r.isSettled(s):
		duty, delay, spread = r.replace, 0, settleSpread
		if !r.hasLeft(s, now) {
			s.due = time.Time{}
			return nil
		}
	case !r.isAlone(s):
		// The records that daemons had written which have failed since are lost, so their streams have to end before.
		delay = r.Retention(s.name) / 2
	}
	if s.due.IsZero() {
		s.due = now.Add(delay + rand.N(spread))
	}
	if now.Before(s.due) {
		return nil
	}
	s.due = time.Time{}
	return duty
}

// hasLeft reports whether all versions of the history but the one that is listed have left, for longer than a stream can
// exist. The caller must hold mu.
func (r *Register) hasLeft(s *service, now time.Time) bool {
	h := s.report.History
	return len(s.listed) == 1 && len(s.lastListed) == 1 && now.Sub(s.alone) > r.Retention(h.Service) &&
		(s.listed[0] != h.Base || len(h.Others) > 0)
}

// isAlone reports whether neither the history nor the lists have another version than the base. The caller must hold mu.
func (r *Register) isAlone(s *service) bool {
	for version := range s.lastListed {
		if version != s.report.Base {
			return false
		}
	}
	return len(s.report.Others) == 0
}

// confirm notes in the history that the records of the era before have been written anew, with the versions that the
// key-value service may have forgotten.
func (r *Register) confirm(ctx context.Context, known Report) {
	report, err := r.read(ctx, known.Service)
	if err != nil {
		return
	}
	r.mu.Lock()
	s := r.service(known.Service)
	next := report.History
	next.Era = r.Era()
	for _, version := range known.Others {
		next = next.with(version)
	}
	for version := range s.lastListed {
		next = next.with(version)
	}
	settled := r.isSettled(s)
	r.mu.Unlock()
	if !settled {
		_, _ = r.write(ctx, next, report.Revision)
	}
}

// replace makes the version that is left the base.
func (r *Register) replace(ctx context.Context, known Report) {
	r.mu.Lock()
	next := known.History
	s := r.service(known.Service)
	if left := r.hasLeft(s, time.Now()); !left {
		r.mu.Unlock()
		return
	}
	next.Base, next.Others = s.listed[0], nil
	r.mu.Unlock()
	_, _ = r.write(ctx, next, known.Revision)
}

// dropOld drops the records of streams that cannot be taken up again.
func (r *Register) dropOld() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, kept := range r.kept {
		if time.Since(kept.at) > r.Retention(kept.stream.Service) {
			delete(r.kept, key)
		}
	}
}

// recordAnew writes the records of this daemon again in a new era, which may have begun without them.
func (r *Register) recordAnew(ctx context.Context) {
	r.mu.Lock()
	era := r.Era()
	var again []*pending
	if era != r.era {
		for _, kept := range r.kept {
			again = append(again, &pending{stream: kept.stream, version: kept.version})
		}
	}
	r.era = era
	r.mu.Unlock()
	for _, p := range again {
		if r.queue.Push(ctx, p) != nil {
			return
		}
	}
}
