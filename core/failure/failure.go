// Package failure classifies typed errors by whether the request ran.
package failure

import "github.com/juju/errors"

// Failure is an error with a code for callers and an outcome class.
type Failure interface {
	error
	// Code returns the kebab-case error code that callers and metrics see.
	Code() string
	// Outcome tells whether the request ran.
	Outcome() Outcome
}

// Of returns the outermost Failure in the chain of err, or an Internal that wraps err.
func Of(err error) Failure {
	if f, ok := errors.AsType[Failure](err); ok {
		return f
	}
	return Internal{cause: err}
}
