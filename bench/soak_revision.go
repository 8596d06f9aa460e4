package bench

import (
	"context"
	"time"
)

// runRevisionChecks polls the revision of every daemon and records a violation if it decreases.
func (s *Soak) runRevisionChecks(ctx context.Context) {
	seen := map[*Daemon]uint64{}
	for ctx.Err() == nil {
		for _, d := range s.liveDaemons() {
			revision, ok := revisionOf(ctx, d)
			if !ok {
				continue
			}
			if revision < seen[d] {
				s.addViolation("I8", "daemon %s went back from revision %d to %d", d.Address(), seen[d], revision)
			}
			seen[d] = revision
		}
		sleep(ctx, 0.05)
	}
}

func (s *Soak) liveDaemons() []*Daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Daemon(nil), s.daemons...)
}

func revisionOf(ctx context.Context, d *Daemon) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	status, err := d.Operator().Status(ctx)
	return status.Revision, err == nil
}

// awaitRevisions waits until the highest accepted revision is in force in every daemon, and records a violation for
// each daemon in which it is not within soakRevisionTimeout, which applies to all daemons together. The wait also ends
// with ctx, and the daemons not checked by then are recorded as violations too.
func (s *Soak) awaitRevisions(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, soakRevisionTimeout)
	defer cancel()
	for _, d := range s.liveDaemons() {
		for {
			revision, ok := revisionOf(ctx, d)
			if ok && revision >= s.acceptedRevision {
				break
			}
			if ctx.Err() != nil {
				s.addViolation("I8", "daemon %s has revision %d, accepted was %d", d.Address(), revision, s.acceptedRevision)
				break
			}
			sleep(ctx, 0.05)
		}
	}
}
