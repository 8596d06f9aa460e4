package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/juju/errors"

	"radishhollow/core/guard"
	"radishhollow/io/telemetry"
)

// A component that ends is restarted after a randomized exponential delay, which starts at initialBackoff and grows to
// maxBackoff. The delay is not reset while the supervisor runs. If a component ends more than maxRestarts times within
// restartWindow, it ends its supervisor. A panic counts as an end.
const (
	maxRestarts    = 5
	restartWindow  = time.Minute
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

// Component runs until its context ends.
type Component struct {
	Name string
	Run  func(ctx context.Context) error
}

// Supervisor runs components and restarts those that end before its context.
type Supervisor struct {
	// Components run in goroutines of their own. Their order has no meaning.
	Components []Component
	Metrics    *telemetry.Metrics
	// OnRestart is called before each restart with the component's name and error, concurrently for different
	// components. It may be nil.
	OnRestart func(name string, err error)
}

// Run starts all components and waits for them. It returns a ComponentFailedError if one restarts too often.
func (s *Supervisor) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var wg sync.WaitGroup
	for _, component := range s.Components {
		wg.Go(func() { s.runComponent(ctx, cancel, component) })
	}
	wg.Wait()
	if failed, ok := context.Cause(ctx).(ComponentFailedError); ok { //nolint:errorlint // The cause is set unwrapped by runComponent.
		return failed
	}
	return nil
}

func (s *Supervisor) runComponent(ctx context.Context, cancel context.CancelCauseFunc, component Component) {
	backOff := backoff.NewExponentialBackOff()
	backOff.InitialInterval = initialBackoff
	backOff.MaxInterval = maxBackoff
	var endTimes []time.Time
	for {
		err := guard.Call(func() error { return component.Run(ctx) }, nil)
		if _, panicked := errors.AsType[guard.PanicError](err); panicked {
			s.Metrics.Count(telemetry.Panics, component.Name)
		}
		if ctx.Err() != nil {
			return
		}
		endTimes = withinRestartWindow(append(endTimes, time.Now()))
		if len(endTimes) > maxRestarts {
			cancel(ComponentFailedError{Name: component.Name, Restarts: maxRestarts, Cause: err})
			return
		}
		s.Metrics.Count(telemetry.Restarts, component.Name)
		if s.OnRestart != nil {
			s.OnRestart(component.Name, err)
		}
		select {
		case <-time.After(backOff.NextBackOff()):
		case <-ctx.Done():
			return
		}
	}
}

// withinRestartWindow drops the times that are older than the restart window.
func withinRestartWindow(endTimes []time.Time) []time.Time {
	oldest := 0
	for oldest < len(endTimes) && time.Since(endTimes[oldest]) > restartWindow {
		oldest++
	}
	return endTimes[oldest:]
}
