package forward

import (
	"io"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"radishhollow/core/generation"
)

// Guards against a cut response whose cause is reported only as the code that many causes share.
func TestCauseOf(t *testing.T) {
	for want, err := range map[string]error{
		"retry-budget":  errors.Trace(generation.EngineLostError{Cause: errors.Trace(generation.RetryBudgetError{Attempt: 2})}),
		"engine-silent": generation.WaitExceededError{Cause: generation.SilenceError{Endpoint: "a"}},
		"engine-lost":   generation.EngineLostError{Cause: io.ErrUnexpectedEOF},
		"timeout":       TimeoutError{},
		"caller-gone":   generation.CallerGoneError{Cause: io.ErrClosedPipe},
		"internal":      io.EOF,
	} {
		require.Equal(t, want, causeOf(err))
	}
}
