package generation_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"radishhollow/core/failure"
	"radishhollow/core/generation"
	"radishhollow/core/route"
)

// Guards against an attempt that is made although it was not admitted, against a choice of an endpoint for it, and
// against a request that is reported as not run although an engine may have run it.
func TestDriverAsksForAdmission(t *testing.T) {
	for name, tt := range map[string]struct {
		first []step
		// delivered is the number of events that the caller has from an earlier request.
		delivered int
		// refuse makes the first engine refuse the request.
		refuse   bool
		admitted int
		starts   int
		outcome  failure.Outcome
	}{
		"first attempt":                         {outcome: failure.NotRun},
		"first attempt of a returning caller":   {delivered: 4, outcome: failure.NotRun},
		"second attempt after a refusal":        {refuse: true, admitted: 1, starts: 1, outcome: failure.NotRun},
		"second attempt after a loss":           {admitted: 1, starts: 1, outcome: failure.Unknown},
		"second attempt after delivered output": {first: eventSteps(1, 1, 2, 9), admitted: 1, starts: 1, outcome: failure.Ran},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fixture{endpoints: []string{"a", "b"}}
				f.open = func(string, generation.Start) ([]step, error) {
					if tt.refuse {
						return nil, refused{}
					}
					if len(tt.first) == 0 {
						return nil, io.ErrUnexpectedEOF
					}
					return append(tt.first, step{err: io.ErrUnexpectedEOF}), nil
				}
				d, _ := eventDriver(f, tt.delivered)
				asked, picks := 0, 0
				d.Admit = func(context.Context) error {
					if asked++; asked <= tt.admitted {
						return nil
					}
					return refused{}
				}
				d.Pick = func(ctx context.Context, criteria route.Criteria) (route.Choice, error) {
					picks++
					return f.pick(ctx, criteria)
				}
				err := d.Run(t.Context())
				require.ErrorAs(t, err, &generation.AdmissionError{})
				require.ErrorAs(t, err, &refused{})
				require.Equal(t, "refused", failure.Of(err).Code())
				require.Equal(t, tt.outcome, failure.Of(err).Outcome())
				require.Equal(t, tt.admitted+1, asked)
				require.Equal(t, tt.admitted, picks)
				require.Len(t, f.starts, tt.starts)
			})
		})
	}
}
