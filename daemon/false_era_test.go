package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/clock"
	"radishhollow/core/kv"
)

// drainingStore returns a store that lists two ready endpoints in its first list, reports after 500 ms that a is
// draining, and has no further changes.
func drainingStore() kv.Store {
	draining := registeredAs("a", kv.NewRevision(1, 101), 2, "draining")
	lists := 0
	return kv.Store{
		List: func(context.Context, string) ([]kv.Entry, kv.Revision, error) {
			if lists++; lists > 1 {
				return []kv.Entry{draining, restoredCopies(1)[1]}, draining.Revision(), nil
			}
			return restoredCopies(1), kv.NewRevision(1, 100), nil
		},
		Watch: func(ctx context.Context, _ string, after kv.Revision, _ time.Duration) ([]kv.Entry, kv.Revision, error) {
			if err := clock.Sleep(ctx, 500*time.Millisecond); err != nil {
				return nil, after, kv.UnavailableError{Call: "watch", Cause: err}
			}
			if draining.Revision().After(after) {
				return []kv.Entry{draining}, draining.Revision(), nil
			}
			return nil, after, nil
		},
	}
}

// Guards against work for a draining endpoint whose report was ignored because a faulty peer had reported an era in which
// the store never was.
func TestEndpointListReadsWhatAFalseEraHid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newPlatformList(drainingStore(), nil)
		l.follower.RelistInterval = time.Minute
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = l.follower.Run(ctx) }()
		time.Sleep(100 * time.Millisecond)
		forged := kv.NewRevision(9, 1)
		l.replaceFromPeer(parsed(t, l, readyAs("a", forged), readyAs("b", forged)), forged)
		require.Equal(t, "ab", usable(l))
		time.Sleep(4 * time.Second)
		require.Equal(t, "b", usable(l))
	})
}
