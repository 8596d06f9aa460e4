package peer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/clock"
	"radishhollow/core/kv"
)

// memberRegistration is the value at members/{address}.
type memberRegistration struct {
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Place       string `json:"place"`
	// LinkMbps is missing where the rate is not known, and in registrations of earlier builds.
	LinkMbps float64 `json:"link-mbps,omitempty"`
}

// registrationState is the lease and the revision of the daemon's registration, which are zero while there is none. It
// is safe for concurrent use.
type registrationState struct {
	mu       sync.Mutex
	lease    kv.Lease
	revision kv.Revision
	// era is the latest era of the key-value service that the list of daemons has shown.
	era uint64
	// lost is closed when the key-value service is seen to have lost the registration.
	lost chan struct{}
}

// held returns the lease, and a channel that is closed when the registration is seen to be lost. The lease is zero if
// it was granted in an earlier era: its ID may be another daemon's now, and must be neither renewed nor ended.
func (s *registrationState) held() (kv.Lease, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost == nil {
		s.lost = make(chan struct{})
	}
	if s.lease.Era() < s.era {
		s.lease, s.revision = kv.Lease{}, kv.Revision{}
	}
	return s.lease, s.lost
}

func (s *registrationState) set(lease kv.Lease, revision kv.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease, s.revision, s.lost = lease, revision, make(chan struct{})
}

// observe records the revision of a list of daemons, or of its changes, and whether the registration is in the list. It
// is lost if the list is of a later era than its lease, or lacks it although it is not older. Then observe returns true
// and the revision of the registration.
func (s *registrationState) observe(revision kv.Revision, listed bool) (before kv.Revision, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = max(s.era, revision.Era())
	missing := !listed && !revision.Before(s.revision)
	if s.lease.IsZero() || s.lost == nil || !missing && s.lease.Era() >= s.era {
		return kv.Revision{}, false
	}
	before = s.revision
	s.lease, s.revision = kv.Lease{}, kv.Revision{}
	close(s.lost)
	s.lost = nil
	return before, true
}

func (r *Registrar) runRegister(ctx context.Context) {
	for {
		lease, lost := r.renewOrRegister(ctx)
		pause := r.TTL / 3
		if lease.IsZero() {
			pause = r.retryPause()
		}
		if !r.waitForRenewal(ctx, pause, lost) {
			lease, _ := r.registration.held()
			r.revoke(ctx, lease)
			return
		}
	}
}

// retryPause returns a short pause with a random part, which spreads the writes of many daemons whose registrations are
// lost at the same time.
func (r *Registrar) retryPause() time.Duration { return r.TTL/20 + rand.N(r.TTL/10+1) }

// waitForRenewal waits until the pause is over, or a shorter one after the registration has been lost. It returns false
// if ctx has ended.
func (r *Registrar) waitForRenewal(ctx context.Context, pause time.Duration, lost <-chan struct{}) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-lost:
		return clock.Sleep(ctx, min(pause, rand.N(r.TTL/10+1))) == nil
	}
}

// renewOrRegister renews the lease, or registers again if there is none or it has expired. It returns the lease to
// renew next, or a zero lease, and a channel that is closed when the registration is seen to be lost.
func (r *Registrar) renewOrRegister(ctx context.Context) (kv.Lease, <-chan struct{}) {
	if lease, lost := r.registration.held(); !lease.IsZero() {
		err := r.KV.Renew(ctx, lease)
		if err == nil {
			r.Node.Isolation.RecordContact()
			return lease, lost
		}
		if _, ended := errors.AsType[kv.LeaseLostError](err); !ended {
			// The platform is unavailable, but the lease may still be alive. The next renewal will show it.
			return lease, lost
		}
		r.registration.set(kv.Lease{}, kv.Revision{})
	}
	if lease, err := r.KV.Grant(ctx, r.TTL); err == nil {
		r.Node.Isolation.RecordContact()
		if revision, err := r.register(ctx, lease); err == nil {
			r.registration.set(lease, revision)
		} else {
			// A lease without a registration has no use. The next call requests a new one.
			r.revoke(ctx, lease)
		}
	}
	return r.registration.held()
}

// register writes the registration. It replaces an earlier one at this address, whose revision the store reports with
// the conflict.
func (r *Registrar) register(ctx context.Context, lease kv.Lease) (kv.Revision, error) {
	key := MembersPrefix + r.Node.Address
	value, err := json.Marshal(memberRegistration{
		Address: r.Node.Address, Incarnation: r.Node.Incarnation, Place: r.Node.Place, LinkMbps: r.Node.LinkMbps,
	})
	if err != nil {
		return kv.Revision{}, errors.Trace(err)
	}
	// After a write whose response was lost, the registration there may be this daemon's own.
	first := !r.wrote
	r.wrote = true
	revision, err := r.KV.Put(ctx, key, value, kv.Revision{}, lease)
	if conflict, taken := errors.AsType[kv.ConflictError](err); taken {
		revision, err = r.KV.Put(ctx, key, value, conflict.Current, lease)
		if first && err == nil && r.OnReplaced != nil {
			r.OnReplaced(conflict.Current)
		}
	}
	return revision, errors.Trace(err)
}

// revoke revokes the lease and thereby removes the registration, even if ctx has ended.
func (r *Registrar) revoke(ctx context.Context, lease kv.Lease) {
	if lease.IsZero() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	// The error is ignored because the lease expires in any case.
	_ = r.KV.Revoke(ctx, lease)
}
