package generation

import (
	"context"

	"radishhollow/core/failure"
)

// admitNext asks for the admission of the next attempt, unless that has been reserved, which includes the admission. It
// returns an AdmissionError if no further attempt may be made.
func (r *driverCall) admitNext(ctx context.Context) error {
	if r.Admit == nil || r.reserved != nil {
		return nil
	}
	err := r.Admit(ctx)
	if err == nil {
		return nil
	}
	if !r.mayHaveRun {
		// Output of an earlier request of the caller does not show that this one has run.
		return AdmissionError{Offset: r.Log.Len(), Result: failure.NotRun, Cause: err}
	}
	return AdmissionError{Offset: r.Log.Len(), Result: r.outcome(), Cause: err}
}

func (r *driverCall) mayMove() bool { return r.AdmitMove == nil || r.AdmitMove() == nil }
