package forward

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a prompt that is cleared of ending engines before its engine has lived on it, or more than once, and
// against one that is never cleared because its answer is short.
func TestStartTracker(t *testing.T) {
	for name, tt := range map[string]struct {
		use func(s *startTracker)
		// lived is the number of calls of onLived, and starting the result of stop.
		lived    int
		starting bool
	}{
		"no event":             {use: func(*startTracker) { time.Sleep(time.Hour) }, starting: true},
		"one event, then lost": {use: func(s *startTracker) { s.recordEvent(); time.Sleep(startPeriod - 1) }, starting: true},
		"one event":            {use: func(s *startTracker) { s.recordEvent(); time.Sleep(startPeriod + 1) }, lived: 1},
		"two events":           {use: func(s *startTracker) { s.recordEvent(); s.recordEvent() }, lived: 1},
		"many events": {use: func(s *startTracker) {
			for range 9 {
				s.recordEvent()
				time.Sleep(startPeriod)
			}
			s.recordCompletion()
		}, lived: 1},
		"complete after one event": {use: func(s *startTracker) { s.recordEvent(); s.recordCompletion() }, lived: 1},
		"complete without an event": {use: func(s *startTracker) {
			s.recordCompletion()
			time.Sleep(time.Hour)
		}, starting: true},
		"events after the end": {use: func(s *startTracker) {
			s.recordEvent()
			s.stop()
			s.recordEvent()
			time.Sleep(time.Hour)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var lived atomic.Int32
				s := &startTracker{onLived: func() { lived.Add(1) }}
				tt.use(s)
				synctest.Wait()
				require.Equal(t, tt.starting, s.stop())
				require.EqualValues(t, tt.lived, lived.Load())
				time.Sleep(time.Hour)
				require.EqualValues(t, tt.lived, lived.Load(), "after stop")
				require.False(t, s.stop())
			})
		})
	}
}

// Guards against a daemon that was paused and takes an engine whose end it has not read yet for one that lived.
func TestStartTrackerIgnoresALateTimer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lived atomic.Bool
		s := &startTracker{onLived: func() { lived.Store(true) }}
		s.recordEvent()
		s.mu.Lock()
		s.due = s.due.Add(-lateTimerThreshold - 1)
		s.mu.Unlock()
		time.Sleep(startPeriod + 1)
		synctest.Wait()
		require.False(t, lived.Load())
		time.Sleep(startPeriod)
		synctest.Wait()
		require.True(t, lived.Load())
	})
}
