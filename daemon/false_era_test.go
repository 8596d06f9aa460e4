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

// Guards against a daemon that asks its peers for a list every 300 ms for as long as it runs, because a faulty peer has
// announced an era of which no one has a list. An era that the store reaches late is not given up for that.
func TestEndpointListDropsAnAnnouncedFalseEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newPlatformList(kv.Store{}, nil)
		l.apply(restoredCopies(1), kv.NewRevision(1, 100), true)
		l.recordPeerRevision(kv.NewRevision(1, 150))
		time.Sleep(10 * time.Second)
		announce := func(revision kv.Revision, times int) {
			for i := range times {
				l.recordPeerRevision(revision)
				time.Sleep(time.Second)
				l.apply(nil, kv.NewRevision(1, uint64(101+i)), false)
			}
		}
		announced := kv.NewRevision(2, 60)
		announce(announced, 2)
		require.Equal(t, announced, l.peerRevision, "the store may reach the era")
		announce(announced, 2)
		require.False(t, l.peerRevision.After(l.revision))
		announce(announced.Next(), 1)
		require.False(t, l.peerRevision.After(l.revision), "the peer announces the era again")

		l.apply(restoredCopies(2), announced, true)
		l.recordPeerRevision(announced.Next())
		require.Equal(t, announced.Next(), l.peerRevision)
	})
}
