package bench

import (
	"context"
	"time"
)

// runRevisions reads every daemon's revision, which never goes back.
func (s *Soak) runRevisions(ctx context.Context) {
	seen := map[*Daemon]uint64{}
	for ctx.Err() == nil {
		for _, d := range s.live() {
			revision, ok := revisionOf(ctx, d)
			if !ok {
				continue
			}
			if revision < seen[d] {
				s.breaks("I8", "daemon %s went back from revision %d to %d", d.Address(), seen[d], revision)
			}
			seen[d] = revision
		}
		pause(ctx, 0.05)
	}
}

func (s *Soak) live() []*Daemon {
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

// checkRevisions waits until the highest accepted revision is in force in every daemon.
func (s *Soak) checkRevisions(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, soakSettleFor)
	defer cancel()
	for _, d := range s.live() {
		for {
			revision, ok := revisionOf(ctx, d)
			if ok && revision >= s.accepted {
				break
			}
			if ctx.Err() != nil {
				s.breaks("I8", "daemon %s has revision %d, accepted was %d", d.Address(), revision, s.accepted)
				break
			}
			pause(ctx, 0.05)
		}
	}
}
