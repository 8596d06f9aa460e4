package peer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"radishhollow/core/kv"
)

// Guards against a daemon that was killed and leaves no trace in any log: the next one at its address tells. A planned stop, an
// expired registration and a write whose response was lost are no such end.
func TestStartTellsOfARegistrationThatWasLeft(t *testing.T) {
	for name, test := range map[string]struct {
		leave  bool
		change func(r *Registrar)
		want   int
	}{
		"killed":       {leave: true, want: 1},
		"planned stop": {},
		"lost response": {change: func(r *Registrar) {
			put, lost := r.KV.Put, false
			r.KV.Put = func(ctx context.Context, key string, value []byte, ifRevision kv.Revision, lease kv.Lease) (kv.Revision, error) {
				revision, err := put(ctx, key, value, ifRevision, lease)
				if !lost {
					lost = true
					return kv.Revision{}, errors.Trace(kv.UnavailableError{Call: "put", Cause: context.DeadlineExceeded})
				}
				return revision, err
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeKV()
				if test.leave {
					_, err := f.put(t.Context(), MembersPrefix+"127.0.0.1:1", []byte("{}"), kv.Revision{}, kv.NewLease(0, "left"))
					require.NoError(t, err)
				}
				replaced := 0
				_, stop := startRegistrar(f, "127.0.0.1:1", func(r *Registrar) {
					r.OnReplaced = func(kv.Revision) { replaced++ }
					if test.change != nil {
						test.change(r)
					}
				})
				time.Sleep(time.Minute)
				require.Len(t, registered(f), 1)
				stop()
				require.Equal(t, test.want, replaced)
			})
		})
	}
}
