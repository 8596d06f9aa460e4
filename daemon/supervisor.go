// Package daemon assembles one daemon from its parts and supervises them.
package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"radishhollow/io/telemetry"
)

// A child that ends more often than maxRestarts within restartWindow ends its supervisor.
const (
	maxRestarts   = 5
	restartWindow = time.Minute
	firstBackoff  = 50 * time.Millisecond
	maxBackoff    = 5 * time.Second
)

// Child is a component that runs until its context ends.
type Child struct {
	Name string
	Run  func(ctx context.Context) error
}

// Supervisor runs children and restarts those that end unexpectedly.
type Supervisor struct {
	// Children are started in order.
	Children []Child
	Metrics  *telemetry.Metrics
	// Restarted is called on each restart; it may be nil.
	Restarted func(name string, err error)
}

// Run starts all children and waits for them. It returns ChildFailedError where a child restarts too often.
func (s *Supervisor) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var wg sync.WaitGroup
	for _, child := range s.Children {
		wg.Go(func() { s.runChild(ctx, cancel, child) })
	}
	wg.Wait()
	if failed, ok := context.Cause(ctx).(ChildFailedError); ok { //nolint:errorlint // The cause is set unwrapped by runChild.
		return failed
	}
	return nil
}

func (s *Supervisor) runChild(ctx context.Context, cancel context.CancelCauseFunc, child Child) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = firstBackoff
	delays.MaxInterval = maxBackoff
	var ends []time.Time
	for {
		err := child.Run(ctx)
		if ctx.Err() != nil {
			return
		}
		ends = recent(append(ends, time.Now()))
		if len(ends) > maxRestarts {
			cancel(ChildFailedError{Name: child.Name, Restarts: maxRestarts, Cause: err})
			return
		}
		s.Metrics.Count(telemetry.Restarts, child.Name)
		if s.Restarted != nil {
			s.Restarted(child.Name, err)
		}
		select {
		case <-time.After(delays.NextBackOff()):
		case <-ctx.Done():
			return
		}
	}
}

// recent drops the times that are older than the restart window.
func recent(ends []time.Time) []time.Time {
	first := 0
	for first < len(ends) && time.Since(ends[first]) > restartWindow {
		first++
	}
	return ends[first:]
}
