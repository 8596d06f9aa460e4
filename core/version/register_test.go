package version

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

const testRetention = 50 * time.Second

// fakeList is the list of endpoints of one service, by version.
type fakeList struct {
	mu       sync.Mutex
	versions map[string]int
}

func (l *fakeList) set(versions map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = versions
}

func (l *fakeList) get(string) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.versions
}

// startRegister runs the register of a daemon until stop is called.
func startRegister(t *testing.T, f *fakeStore, list func(string) map[string]int) (r *Register, stop func()) {
	t.Helper()
	store, eras := f.client()
	r = &Register{
		Store: store, Services: func() []string { return []string{"s"} }, Listed: list,
		Retention: func(string) time.Duration { return testRetention }, Era: eras.Current,
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = r.Run(ctx) }()
	r.Observe()
	return r, func() { cancel(); <-done }
}

func stream(id string) Stream { return Stream{Service: "s", Workspace: "w", ID: id} }

func requireReason(t *testing.T, reason Reason, err error) {
	t.Helper()
	unknown, ok := errors.AsType[UnknownError](err)
	require.True(t, ok, "%v", err)
	require.Equal(t, reason, unknown.Reason)
}

// Guards against calls for the streams of services that have one version.
func TestUniformServiceCostsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, list := newFakeStore(), &fakeList{versions: map[string]int{"v1": 3}}
		r, stop := startRegister(t, f, list.get)
		time.Sleep(5 * time.Second)
		before := f.callCount()
		for range 100 {
			require.NoError(t, r.Begin(t.Context(), stream("a"), "v1"))
			version, err := r.Find(t.Context(), stream(""))
			require.NoError(t, err)
			require.Equal(t, "v1", version)
		}
		time.Sleep(5 * time.Minute)
		require.Equal(t, before, f.callCount())
		stop()
	})
}

// Guards against a daemon that takes the only version that it has seen for that of all streams.
func TestFreshDaemonFindsTheVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, list := newFakeStore(), &fakeList{versions: map[string]int{"v1": 3}}
		r, stop := startRegister(t, f, list.get)
		require.NoError(t, r.Begin(t.Context(), stream("old"), "v1"))
		list.set(map[string]int{"v1": 2, "v2": 1})
		r.Observe()
		require.NoError(t, r.Begin(t.Context(), stream("new"), "v2"))
		require.NoError(t, r.Begin(t.Context(), stream("other"), "v1"))
		time.Sleep(time.Second)
		require.Equal(t, 2, f.recordCount())
		stop()
		for _, versions := range []map[string]int{{"v2": 3}, {"v1": 3}, {"v1": 1, "v2": 1}} {
			list.set(versions)
			r, stop = startRegister(t, f, list.get)
			for id, want := range map[string]string{"old": "v1", "new": "v2", "other": "v1"} {
				version, err := r.Find(t.Context(), stream(id))
				require.NoError(t, err)
				require.Equal(t, want, version, id)
			}
			_, err := r.Find(t.Context(), stream(""))
			requireReason(t, ReasonUnnamed, err)
			stop()
		}
	})
}

// Guards against a stream that goes on before its version is recorded, and against one that waits although it could not be taken
// for one of another version.
func TestStreamWaitsForItsRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, list := newFakeStore(), &fakeList{versions: map[string]int{"v1": 3}}
		r, stop := startRegister(t, f, list.get)
		time.Sleep(5 * time.Second)
		list.set(map[string]int{"v1": 2, "v2": 1})
		r.Observe()
		f.setAway(true)
		began := make(chan error, 1)
		go func() { began <- r.Begin(t.Context(), stream("a"), "v2") }()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.ErrorIs(t, r.Begin(ctx, stream("b"), "v2"), context.DeadlineExceeded)
		require.NoError(t, r.Begin(t.Context(), stream("c"), "v1"), "a stream of the base needs no record")
		time.Sleep(5 * time.Second)
		require.Empty(t, began)
		_, err := r.Find(t.Context(), stream("a"))
		requireReason(t, ReasonUnavailable, err)
		f.setAway(false)
		require.NoError(t, <-began)
		time.Sleep(time.Second)
		require.Equal(t, 2, f.recordCount(), "a stream that was given up needs no record")

		f.setAway(true)
		list.set(map[string]int{"v2": 3})
		r.Observe()
		start := time.Now()
		require.NoError(t, r.Begin(t.Context(), stream("d"), "v2"))
		require.Less(t, time.Since(start), 2*time.Second)
		f.setAway(false)
		time.Sleep(2 * time.Second)
		require.Equal(t, 3, f.recordCount(), "it is recorded later")
		stop()
	})
}

// Guards against streams that are taken for ones of the base because their records were lost with the latest part of the key-value
// service.
func TestRecordsAreWrittenAnewInANewEra(t *testing.T) {
	for _, alive := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f, list := newFakeStore(), &fakeList{versions: map[string]int{"v1": 3}}
			r, stop := startRegister(t, f, list.get)
			time.Sleep(5 * time.Second)
			f.save()
			list.set(map[string]int{"v1": 2, "v2": 1})
			r.Observe()
			require.NoError(t, r.Begin(t.Context(), stream("a"), "v2"))
			if !alive {
				stop()
			}
			f.restore()
			other, stopOther := startRegister(t, f, list.get)
			_, err := other.Find(t.Context(), stream("a"))
			requireReason(t, ReasonUnsettled, err)
			// The first call after the return shows the new era.
			_, _ = r.Find(t.Context(), stream("x"))
			time.Sleep(6 * time.Second)
			version, err := other.Find(t.Context(), stream("a"))
			if alive {
				require.NoError(t, err)
				require.Equal(t, "v2", version)
				stop()
			} else {
				requireReason(t, ReasonUnsettled, err)
			}
			stopOther()
		})
	}
}

// Guards against records without end after a release, and against a base that changes while streams of the old one can be left.
func TestBaseChangesOnceItsStreamsHaveEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, list := newFakeStore(), &fakeList{versions: map[string]int{"v1": 3}}
		r, stop := startRegister(t, f, list.get)
		require.NoError(t, r.Begin(t.Context(), stream("old"), "v1"))
		list.set(map[string]int{"v1": 2, "v2": 1})
		r.Observe()
		require.NoError(t, r.Begin(t.Context(), stream("new"), "v2"))
		list.set(map[string]int{"v2": 3})
		r.Observe()
		for range int((testRetention - time.Second) / time.Second) {
			time.Sleep(time.Second)
			version, err := r.Find(t.Context(), stream("old"))
			require.NoError(t, err)
			require.Equal(t, "v1", version)
		}
		time.Sleep(settleSpread + 5*time.Second)
		before := f.callCount()
		require.NoError(t, r.Begin(t.Context(), stream("later"), "v2"))
		version, err := r.Find(t.Context(), stream("later"))
		require.NoError(t, err)
		require.Equal(t, "v2", version)
		require.Equal(t, before, f.callCount())
		stop()
	})
}

// Guards against a history that another writer has replaced by something else.
func TestMalformedHistoryIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, list := newFakeStore(), &fakeList{versions: map[string]int{"v1": 3}}
		f.put(historyKey("s"), []byte("{"))
		r, stop := startRegister(t, f, list.get)
		require.NoError(t, r.Begin(t.Context(), stream("a"), "v1"))
		version, err := r.Find(t.Context(), stream("a"))
		require.NoError(t, err)
		require.Equal(t, "v1", version)
		stop()
	})
}
