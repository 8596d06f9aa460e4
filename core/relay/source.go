package relay

import (
	"context"
	"slices"
	"time"
)

const (
	// minSuspension is the time for which a reader is not asked after a failed call. It doubles with each further one, up
	// to maxSuspension, because a lost reader stays listed until its lease expires.
	minSuspension = 2 * time.Second
	maxSuspension = 16 * time.Second
)

// suspended is a reader that is not asked until a time, after failed calls in a row.
type suspended struct {
	until    time.Time
	duration time.Duration
}

// source returns the reader to ask, or an empty string if this daemon must call the key-value service.
func (s *Store) source(prefix string, f *followed) string {
	peers := s.Peers()
	chosen := readers(prefix, append(slices.Clone(peers), s.Self), s.LinkMbps)
	f.mu.Lock()
	asked := !f.askedAt.IsZero() && time.Since(f.askedAt) < askedTTL
	reads := asked || slices.Contains(chosen, s.Self)
	changed := reads != f.reads
	f.reads = reads
	f.mu.Unlock()
	if changed && s.OnRole != nil {
		s.OnRole(prefix, reads)
	}
	if reads {
		return ""
	}
	// Each follower has its own order, so that the readers share the load.
	sortByHash(s.Self+prefix, chosen)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, address := range chosen {
		if time.Now().After(s.suspended[address].until) {
			return address
		}
	}
	return ""
}

func (s *Store) suspend(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.suspended == nil {
		s.suspended = map[string]suspended{}
	}
	duration := max(minSuspension, min(2*s.suspended[address].duration, maxSuspension))
	s.suspended[address] = suspended{until: time.Now().Add(duration), duration: duration}
}

// resume ends the suspension of a reader that has answered.
func (s *Store) resume(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.suspended, address)
}

// awaitSource returns the reader to ask, or an empty string once this daemon may call the key-value service again.
func (s *Store) awaitSource(ctx context.Context, prefix string, f *followed) (string, error) {
	if address := s.source(prefix, f); address != "" {
		return address, nil
	}
	if err := f.awaitBatch(ctx); err != nil {
		return "", err
	}
	// The daemon may have learned of readers during the pause.
	return s.source(prefix, f), nil
}
