// Package clock waits on the runtime's clock, which tests pause and advance.
package clock

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Sleep waits for d, or returns the context's error if that ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}
