package relay

import (
	"context"

	"github.com/juju/errors"

	"radishhollow/core/kv"
)

// era returns the latest era in which the key-value service itself has answered this daemon, or 0 if it reports none.
func (s *Store) era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentEra
}

// observeEra records the era of the key-value service's own response, which may be a kv.EraEndedError. When a new era
// begins, the watches of all prefixes end, so that each prefix is listed anew at once.
func (s *Store) observeEra(revision kv.Revision, err error) {
	era := revision.Era()
	if ended, ok := errors.AsType[kv.EraEndedError](err); ok {
		era = ended.Current
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.currentEra
	s.currentEra = max(era, before)
	if before == 0 || era <= before {
		return
	}
	for _, f := range s.followed {
		f.requestCheck(era, 0)
	}
}

// checkNotEnded fails if the key-value service has begun a new era since a revision was received.
func (s *Store) checkNotEnded(f *followed, after kv.Revision) error {
	current := s.era()
	if after.Era() >= current {
		return nil
	}
	// The next list must not be answered from the daemon's own copy.
	f.setConfirmed(false)
	return errors.Trace(kv.EraEndedError{Era: after.Era(), Current: current})
}

// checkEra fails unless a reader's answer is of the current era. Of a later one than is known, only the key-value service
// itself is believed: a daemon that followed a faulty reader into an era that does not exist would refuse all others, and
// the service, from then on.
func (s *Store) checkEra(ctx context.Context, timing Timing, prefix string, revision kv.Revision) error {
	if revision.Era() > s.era() {
		s.count(Direct)
		_, confirmed, err := s.Direct.Watch(ctx, prefix, revision, timing.probeWait())
		s.observeEra(confirmed, err)
	}
	if current := s.era(); revision.Era() != current {
		s.count(OtherEra)
		return errors.Trace(OtherEraError{Want: current, Got: revision.Era()})
	}
	return nil
}
