package failure_test

import (
	"io"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"radishhollow/core/failure"
)

type refused struct{}

func (refused) Error() string            { return "refused" }
func (refused) Code() string             { return "refused" }
func (refused) Outcome() failure.Outcome { return failure.NotRun }

// Guards against an untyped error that is reported to the caller as not run, and against a wrapped Failure that is not
// found.
func TestOf(t *testing.T) {
	tests := []struct {
		name    string
		err     error
		code    string
		outcome failure.Outcome
	}{
		{name: "typed", err: refused{}, code: "refused", outcome: failure.NotRun},
		{name: "annotated", err: errors.Annotate(refused{}, "send"), code: "refused", outcome: failure.NotRun},
		{name: "untyped", err: io.EOF, code: "internal", outcome: failure.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := failure.Of(tt.err)
			require.Equal(t, tt.code, got.Code())
			require.Equal(t, tt.outcome, got.Outcome())
		})
	}
}
