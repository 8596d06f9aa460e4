// Package clock provides a sleep that ends with its context. It uses the clock of the runtime, which tests control with
// testing/synctest.
package clock

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Sleep waits for d. It returns the context's error if the context ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return errors.Trace(ctx.Err())
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}
