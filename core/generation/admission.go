package generation

import "radishhollow/core/failure"

// admit returns an AdmissionError if no further attempt may be made.
func (r *driverCall) admit() error {
	if r.Admit == nil {
		return nil
	}
	err := r.Admit()
	if err == nil {
		return nil
	}
	if !r.mayHaveRun {
		// Output of an earlier request of the caller does not show that this one has run.
		return AdmissionError{Offset: r.Log.Len(), Result: failure.NotRun, Cause: err}
	}
	return AdmissionError{Offset: r.Log.Len(), Result: r.outcome(), Cause: err}
}

// admitNext asks for the admission of the next attempt, unless that has been reserved, which includes the admission.
func (r *driverCall) admitNext() error {
	if r.reserved != nil {
		return nil
	}
	return r.admit()
}
