package peer

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/kv"
)

// leaseOf returns the ID of the lease of a daemon's registration, or an empty string if that has ended.
func leaseOf(f *fakeKV, address string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	lease := f.leaseByKey[MembersPrefix+address]
	if _, alive := f.leases[lease]; !alive {
		return ""
	}
	return lease
}

// Guards against a daemon that is not listed, or listed with a lease that it does not renew, for a third of the time to
// live after the store has come back from an older copy.
func TestRegistrationIsWrittenAgainInANewEra(t *testing.T) {
	for _, registeredInCopy := range []bool{false, true} {
		for _, raise := range []uint64{0, 40, 80} {
			t.Run(strconv.FormatBool(registeredInCopy)+" "+strconv.FormatUint(raise, 10), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFakeKV()
					empty := f.copy()
					node, stop := startRegistrar(f, "127.0.0.1:1")
					defer stop()
					// The lease was renewed right before.
					time.Sleep(30*time.Second + 100*time.Millisecond)
					before, restored := leaseOf(f, node.Address), empty
					if registeredInCopy {
						restored = f.copy()
					}
					f.restore(restored, raise)
					time.Sleep(1500 * time.Millisecond)
					after := leaseOf(f, node.Address)
					require.NotEmpty(t, after)
					require.True(t, !registeredInCopy || after != before, "the lease of the copy is not this daemon's")
					time.Sleep(time.Minute)
					require.Equal(t, after, leaseOf(f, node.Address), "the lease must be renewed")
				})
			})
		}
	}
}

// Guards against a registration that stays away although the key-value service answers: it was removed by another
// writer, or its lease ended early.
func TestRegistrationIsWrittenAgainAfterItsRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeKV()
		node, stop := startRegistrar(f, "127.0.0.1:1")
		defer stop()
		time.Sleep(30*time.Second + 100*time.Millisecond)
		_ = f.revoke(t.Context(), kv.NewLease(1, leaseOf(f, node.Address)))
		time.Sleep(1500 * time.Millisecond)
		require.NotEmpty(t, leaseOf(f, node.Address))
	})
}

// Guards against a daemon that stops after a return of the store that it has not noticed, and ends the lease of another
// daemon, which has got the same ID.
func TestStopEndsNoLeaseOfAnotherDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeKV()
		empty := f.copy()
		ctx, cancel := context.WithCancel(t.Context())
		node, stopOther := startRegistrar(newFakeKV(), "127.0.0.1:1")
		stopOther()
		r := &Registrar{KV: f.store(), Node: node, TTL: 9 * time.Second}
		done := make(chan error)
		go func() { done <- r.Run(ctx) }()
		time.Sleep(time.Second)
		own := leaseOf(f, node.Address)
		f.restore(empty, 0)
		lease, err := f.grant(t.Context(), 9*time.Second)
		require.NoError(t, err)
		require.Equal(t, own, lease.ID())
		_, err = f.put(t.Context(), MembersPrefix+"127.0.0.9:1", []byte("{}"), kv.Revision{}, lease)
		require.NoError(t, err)
		cancel()
		require.Error(t, <-done)
		require.Equal(t, lease.ID(), leaseOf(f, "127.0.0.9:1"))
		require.NoError(t, f.renew(t.Context(), lease))
	})
}
